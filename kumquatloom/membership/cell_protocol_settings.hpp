#ifndef KUMQUATLOOM_MEMBERSHIP_CELL_PROTOCOL_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_CELL_PROTOCOL_SETTINGS_HPP

#include <kumquatloom/membership/member_table_settings.hpp>
#include <kumquatloom/membership/probe_scheduler_settings.hpp>
#include <kumquatloom/membership/reader_election.hpp>
#include <kumquatloom/membership/record_replicator.hpp>
#include <kumquatloom/membership/region_digest_table.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace kumquatloom::membership
{

/// Settings of the cell protocol.
struct cell_protocol_settings
{
    member_table_settings table;
    probe_scheduler_settings probes;
    reader_election_settings readers;
    record_replicator_settings replication;
    region_digest_table_settings digests;
    /// Interval between heartbeats.
    std::chrono::milliseconds heartbeat_interval{500};
    /// Time without a successful read after which a reader counts as unable to
    /// read the log. A long poll must be shorter than this.
    std::chrono::milliseconds log_timeout{1500};
    /// Time for which a reader that cannot read the log leaves the role to
    /// other members.
    std::chrono::seconds log_retry{30};
    /// Interval between probes for the freshness of another member.
    std::chrono::milliseconds freshness_interval{1000};
    /// Interval between digests to another cell or region.
    std::chrono::milliseconds digest_interval{1000};
    /// Maximum age of a fresh state (section 5.2 of the design).
    std::chrono::milliseconds freshness_lease{5000};
    /// Time between two calls of tick() or receive() from which the process
    /// counts as paused. The owner calls tick() ten times per second.
    std::chrono::milliseconds pause_threshold{1000};
    /// Maximum age of a member that is included in a digest.
    std::chrono::milliseconds digest_age_limit{4000};
    /// Addresses that get heartbeats until a member was heard from.
    std::vector<settings::endpoint> seeds;
    /// Seed of random choices; should be random outside of tests.
    std::uint64_t random_seed = 0;
};

} // namespace kumquatloom::membership

#endif
