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

/// Most upstreams in one report. A domain that uses more leaves out the least
/// loaded ones.
inline constexpr std::size_t max_domain_reports = 160;
/// First byte of every report; differs from that of a neighbour's message.
inline constexpr std::uint8_t domain_report_version = 65;

/// What the instances of one failure domain have in flight and have found out,
/// for the instances of another one. Whoever receives it from outside passes
/// it on to its neighbours.
struct domain_report
{
    /// Version of the format.
    std::uint8_t version = domain_report_version;
    /// The domain that is told about.
    core::failure_domain domain;
    /// Incarnation and number of the report's sender; an older report of the
    /// same sender is ignored.
    core::incarnation incarnation = 0;
    std::uint32_t sequence = 0;
    /// Load and evidence of all instances of the domain together.
    std::vector<upstream_report> reports;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version);
        if (version != domain_report_version)
            throw peer::bounds_error();
        auto name = peer::bounded<peer::max_name_bytes>(domain);
        auto told = peer::bounded<max_domain_reports>(reports);
        archive(name, incarnation, sequence, told);
    }
};

} // namespace kumquatloom::hosting

#endif
