#ifndef KUMQUATLOOM_MEMBERSHIP_RECORD_REPLICATOR_HPP
#define KUMQUATLOOM_MEMBERSHIP_RECORD_REPLICATOR_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/local_state.hpp>
#include <kumquatloom/membership/member_table.hpp>
#include <kumquatloom/membership/outbox.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace kumquatloom::membership
{

/// Timing of a record replicator.
struct record_replicator_settings
{
    /// Time to wait for a push before records are requested.
    std::chrono::milliseconds grace{200};
    /// Time after which a request counts as failed.
    std::chrono::milliseconds timeout{1000};
};

/// Replicates records within a cell. The instance that brings new records into
/// the cell pushes them to the other members. Anti-entropy repairs lost pushes:
/// a member that sees a higher offset in a heartbeat requests the records from
/// one member that has them, preferably of its own failure domain. Not
/// thread-safe.
class record_replicator
{
public:
    /// `seed` initializes the random choice of members; should be random
    /// outside of tests.
    record_replicator(record_replicator_settings settings,
                      core::failure_domain own_domain,
                      std::uint64_t seed);

    /// Pushes records to the members that are known to lack them.
    static void
    push(member_table const& table, local_state const& local, outbox& out);

    /// Requests records that other members have, if a request is due.
    void tick(member_table const& table,
              local_state const& local,
              core::time_point now,
              outbox& out);

    /// Requests records from another cell or region whose digest shows more
    /// records than this instance has, unless a request is pending. Only the
    /// cell's relay does this.
    void request_from(core::instance_id const& peer,
                      peer::destination const& to,
                      local_state const& local,
                      core::time_point now,
                      outbox& out);

    /// Completes the request that a response belongs to. Returns the time at
    /// which the request was sent; nothing if the response is unexpected.
    std::optional<core::time_point> complete_request(std::uint64_t nonce);

    /// Cancels a failed request, so that another member may be asked.
    void fail_request(std::uint64_t nonce);

    /// Whether a request is pending.
    bool has_pending_request() const
    {
        return pending_request_.has_value();
    }

private:
    /// A pending request.
    struct request
    {
        std::uint64_t nonce = 0;
        /// Time at which it was put into the outbox.
        core::time_point sent;
    };

    void send_request(core::instance_id const& peer,
                      peer::destination const& to,
                      local_state const& local,
                      core::time_point now,
                      outbox& out);

    record_replicator_settings settings_;
    core::failure_domain own_domain_;
    /// Generates nonces and selects members.
    std::mt19937_64 random_;
    /// The pending request. A single one at a time limits memory and load.
    std::optional<request> pending_request_;
    /// Time since which a member is known to have more records.
    std::optional<core::time_point> behind_since_;
};

} // namespace kumquatloom::membership

#endif
