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

/// Times of a spread plan.
struct record_replicator_settings
{
    /// Time for which a push may still be under way before records are asked
    /// for.
    std::chrono::milliseconds grace{200};
    /// Time after which a request counts as failed.
    std::chrono::milliseconds timeout{1000};
};

/// Decides who sends new records to whom. The instance that brings records into
/// a cell pushes them to its members. Anti-entropy fills what a lost push
/// left: a member that hears a higher offset in a heartbeat asks one member
/// that has it, in its own failure domain if possible.
class record_replicator
{
public:
    /// The seed chooses whom to ask; it should be random outside of tests.
    record_replicator(record_replicator_settings settings,
                      core::failure_domain own_domain,
                      std::uint64_t seed);

    /// Pushes to the members that are known to lack records.
    static void
    push(member_table const& table, local_state const& local, outbox& out);

    /// Asks for records that other members have.
    void tick(member_table const& table,
              local_state const& local,
              core::time_point now,
              outbox& out);

    /// Asks another cell or region, because no member of the cell has what its
    /// digest shows. Only the cell's relay does this.
    void ask_outside(core::instance_id const& peer,
                     peer::destination const& to,
                     local_state const& local,
                     core::time_point now,
                     outbox& out);

    /// A response came: when its request was sent; nothing if it was not
    /// expected.
    std::optional<core::time_point> answered(std::uint64_t nonce);

    /// A request failed, so another member may be asked.
    void failed(std::uint64_t nonce);

    /// Whether a request is under way.
    bool asking() const
    {
        return asked_.has_value();
    }

private:
    /// The request under way.
    struct request
    {
        /// Its number.
        std::uint64_t nonce = 0;
        /// When it was ordered.
        core::time_point sent;
    };

    void ask(core::instance_id const& peer,
             peer::destination const& to,
             local_state const& local,
             core::time_point now,
             outbox& out);

    /// Times.
    record_replicator_settings settings_;
    /// Failure domain of this instance.
    core::failure_domain own_domain_;
    /// Makes nonces and choices.
    std::mt19937_64 random_;
    /// The request under way; one at a time bounds the memory and the load.
    std::optional<request> asked_;
    /// Since when a member is known to have more records.
    std::optional<core::time_point> behind_since_;
};

} // namespace kumquatloom::membership

#endif
