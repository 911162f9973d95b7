#ifndef KUMQUATLOOM_LIMITS_RATE_SHARE_HPP
#define KUMQUATLOOM_LIMITS_RATE_SHARE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/seqlock_array.hpp>
#include <kumquatloom/limits/share_messages.hpp>
#include <kumquatloom/limits/token_account.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquatloom::limits
{

/// Settings of shares, the same on every instance.
struct rate_share_settings
{
    /// How long a taker uses a grant, from the time it asked.
    std::chrono::milliseconds lease{10000};
    /// How much longer the giver waits, which covers clocks whose rates
    /// differ by up to a tenth.
    std::chrono::milliseconds margin{1000};
    /// Time between two requests of a taker.
    std::chrono::milliseconds ask_interval{1000};
    /// Most that an instance lends, in hundredths of its base share.
    unsigned lendable_percent = 50;
    /// Unused share that is kept, as a time; at least one request is kept.
    std::chrono::milliseconds burst_time{1000};
    /// Most grants that are given, and most that are used, at one time.
    std::size_t max_grants = 16;
};

/// Who an instance is towards its peers.
struct instance_identity
{
    /// The instance.
    core::instance_id id;
    /// Its incarnation.
    core::incarnation incarnation = 0;
    /// When the process started.
    core::time_point started;
};

/// The base share of each instance: a limit split by region in proportion to
/// the expected instances, and within the region evenly. `regions` are those
/// of the route; empty means all. Without any expected instance the whole
/// limit is returned.
microtoken_rate base_share(std::uint32_t limit_per_s,
                           std::map<core::region, unsigned> const& expected,
                           std::vector<core::region> const& regions);

/// The share that this instance has of one limit. Shares move between
/// instances as grants: the giver lowers its share before it sends a grant,
/// the taker raises its own after it has received it and stops using it one
/// lease after it asked, and the giver takes the share back one margin later.
///
/// Error bound: as long as at most the expected number of processes run, the
/// shares of all instances never add up to more than the limit, whichever
/// messages are lost, late, repeated or reordered, and whichever instances
/// pause. Each process beyond that number, during a replacement, adds at most
/// one base share. A restarted instance has forgotten what it lent, so that it
/// starts with the part that it never lends and has its base share after lease
/// and margin; restarts add nothing. When a document lowers the base share,
/// what was lent before may exceed the new share for at most lease and margin.
/// Over a time t the fleet therefore admits at most limit * t, plus one burst
/// for each instance, plus one request for each restart; clocks that run fast
/// add their part of that.
///
/// Threads that serve requests call try_take() and current(); one thread at a
/// time calls the rest.
class rate_share
{
public:
    /// Starts with at most one request to serve at once. Shares of one process
    /// that are made later than its start do not count as restarted.
    rate_share(rate_share_settings settings,
               limit_key key,
               instance_identity self,
               microtoken_rate base,
               core::time_point now);

    /// Takes the right to serve one request. Takes no lock.
    bool try_take(core::time_point now);

    /// The share at a time, loans included.
    microtoken_rate current(core::time_point now) const;

    /// Replaces the base share, after a change of the document.
    void update_base(microtoken_rate base, core::time_point now);

    /// Ends what has expired. Called every few hundred milliseconds; until
    /// then the share is too low, never too high.
    void refresh(core::time_point now);

    /// A request to a peer if requests were refused for want of a share. The
    /// time must be read before the message is sent.
    std::optional<share_request> ask(core::time_point now);

    /// Lowers the share and returns the grant to send, if there is anything to
    /// lend. The time must be read after the message was received.
    std::optional<share_grant> handle_request(share_request const& request,
                                              core::time_point now);

    /// Raises the share by a grant; false if the grant does not answer the
    /// latest request or is late.
    bool handle_grant(share_grant const& grant, core::time_point now);

    /// The limit.
    limit_key const& key() const
    {
        return key_;
    }

    /// Whether nothing was asked of the share for a time and no grant is in
    /// force, so that a new share in its place behaves the same.
    bool idle(core::time_point now, core::duration time) const;

private:
    /// What was lent to a peer.
    struct lent_share
    {
        /// The request that it answers.
        share_request request;
        /// The rate that was lent.
        microtoken_rate rate = 0;
        /// When it is taken back.
        core::time_point until;
    };

    /// What was borrowed from a peer.
    struct borrowed_share
    {
        /// The rate that was borrowed.
        microtoken_rate rate = 0;
        /// When it must no longer be used.
        core::time_point until;
    };

    /// The request that waits for its grant.
    struct pending_request
    {
        /// Number of the request.
        std::uint64_t sequence = 0;
        /// The rate that was asked for.
        microtoken_rate requested_rate = 0;
        /// When it was sent.
        core::time_point sent;
    };

    /// What threads that serve requests need to know.
    struct published_state
    {
        /// Parts of tokens earned until `since`.
        std::int64_t earned = 0;
        /// When the rates came into force.
        core::time_point since;
        /// The instance's own rate.
        microtoken_rate own = 0;
        /// The borrowed rate, in force until `borrowed_until`.
        microtoken_rate borrowed = 0;
        /// When the first loan ends.
        core::time_point borrowed_until;
    };

    /// Reads the published state.
    published_state state() const;
    /// Parts of tokens earned until a time.
    static std::int64_t earned(published_state const& state,
                               core::time_point now);
    /// Drops what has expired and publishes the resulting rates.
    void publish(core::time_point now);
    /// The rate that is not lent.
    microtoken_rate own_rate(core::time_point now) const;
    /// Sum of what is lent.
    microtoken_rate lent_rate() const;
    /// The rate that can be lent now.
    microtoken_rate spare_rate(core::time_point now) const;
    /// Whether an earlier process of the instance may have lent a part.
    bool starting(core::time_point now) const;
    /// Measures the demand since the last time.
    void measure(core::time_point now);

    /// Settings.
    rate_share_settings settings_;
    /// The limit.
    limit_key key_;
    /// This instance.
    instance_identity self_;
    /// The share without any grant.
    microtoken_rate base_;
    /// Unused parts of tokens that are kept.
    std::atomic<std::int64_t> burst_;
    /// The published state as words.
    latched_words<5> words_;
    /// What was taken.
    allowance taken_;
    /// Requests served since the last measurement.
    std::atomic<std::uint64_t> served_{0};
    /// Requests refused since the last measurement.
    std::atomic<std::uint64_t> refused_{0};
    /// When the demand was measured last.
    core::time_point measured_;
    /// When a request was last found by a measurement.
    core::time_point used_;
    /// Measured rate of served requests.
    microtoken_rate served_rate_ = 0;
    /// Measured rate of refused requests.
    microtoken_rate refused_rate_ = 0;
    /// Grants that were given.
    std::vector<lent_share> lent_;
    /// Grants that were received.
    std::vector<borrowed_share> borrowed_;
    /// The latest request.
    std::optional<pending_request> pending_;
    /// When the latest request was sent, answered or not.
    std::optional<core::time_point> asked_;
    /// Number of the latest request.
    std::uint64_t last_number_ = 0;
};

} // namespace kumquatloom::limits

#endif
