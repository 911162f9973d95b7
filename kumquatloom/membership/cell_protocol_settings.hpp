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
    /// Times and bounds of the member table.
    member_table_settings table;
    /// Times and bounds of probes.
    probe_scheduler_settings probes;
    /// Number of readers and times of their election.
    reader_election_settings readers;
    /// Times of the spread of records.
    record_replicator_settings replication;
    /// Bounds of what is known about other cells.
    region_digest_table_settings digests;
    /// Time between two heartbeats.
    std::chrono::milliseconds heartbeat_interval{500};
    /// Time without a successful read after which a reader counts as unable to
    /// read the log. A long poll must be shorter.
    std::chrono::milliseconds log_timeout{1500};
    /// Time for which it then leaves the reading to others.
    std::chrono::seconds log_retry{30};
    /// Time between two probes that ask how fresh a member is.
    std::chrono::milliseconds freshness_interval{1000};
    /// Time between two digests to another cell or region.
    std::chrono::milliseconds digest_interval{1000};
    /// Age up to which a state is fresh (section 5.2 of the design).
    std::chrono::milliseconds freshness_lease{5000};
    /// Time between two steps after which this process counts as paused. The
    /// owner calls tick() ten times a second.
    std::chrono::milliseconds pause_threshold{1000};
    /// Age of a remote member in a digest up to which it is passed on.
    std::chrono::milliseconds digest_age_limit{4000};
    /// Peers to contact while no member was heard from.
    std::vector<settings::endpoint> seeds;
    /// Seed of random choices; should be random outside of tests.
    std::uint64_t random_seed = 0;
};

} // namespace kumquatloom::membership

#endif
