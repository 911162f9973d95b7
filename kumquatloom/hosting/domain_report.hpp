#ifndef KUMQUATLOOM_HOSTING_DOMAIN_REPORT_HPP
#define KUMQUATLOOM_HOSTING_DOMAIN_REPORT_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/message_codec.hpp>
#include <kumquatloom/hosting/upstream_report.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquatloom::hosting
{

/// Maximum number of upstreams in a report. If a domain has more to report, the
/// ones with the lowest sums of load and absolute evidence are left out.
inline constexpr std::size_t max_reported_upstreams = 160;
/// Format version, the first field of a report. Must differ from
/// `message_version`, so that receivers can distinguish the two kinds of
/// datagrams.
inline constexpr std::uint8_t domain_report_version = 65;

/// Load and health evidence of all instances of one failure domain, sent to
/// another failure domain. An instance that receives a report from outside its
/// domain forwards it to its neighbours.
struct domain_report
{
    std::uint8_t version = domain_report_version;
    /// Failure domain that the report describes.
    core::failure_domain domain;
    /// Incarnation of the sender and sequence number of the report; an older
    /// report of the same sender is ignored.
    core::incarnation incarnation = 0;
    std::uint32_t sequence = 0;
    /// Sums over all instances of the domain.
    std::vector<upstream_report> reports;

    /// Serializes the report with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version);
        if (version != domain_report_version)
            throw peer::bounds_error();
        auto name = peer::bounded<peer::max_name_bytes>(domain);
        auto bounded_reports = peer::bounded<max_reported_upstreams>(reports);
        archive(name, incarnation, sequence, bounded_reports);
    }
};

} // namespace kumquatloom::hosting

#endif
