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

/// Settings of rate shares. They must be the same on every instance.
struct rate_share_settings
{
    /// How long a borrower uses a grant, from the time it sent the request.
    std::chrono::milliseconds lease{10000};
    /// How much longer the lender waits before it takes the rate back. Covers
    /// clocks whose rates differ by up to 10%.
    std::chrono::milliseconds lease_margin{1000};
    /// Least time between two share requests of a borrower.
    std::chrono::milliseconds request_interval{1000};
    /// Most that an instance lends, as a percentage of its base share.
    unsigned lendable_percent = 50;
    /// Burst size, as the time in which the base share accrues it. At least
    /// one request.
    std::chrono::milliseconds burst_time{1000};
    /// Maximum number of grants to peers, and of grants from peers, that are in
    /// force at one time.
    std::size_t max_grants = 16;
};

/// Identity of the instance that holds a share.
struct instance_identity
{
    core::instance_id id;
    core::incarnation incarnation = 0;
    /// Start of the process.
    core::time_point started;
};

/// The base share of each instance: the limit is split between regions in
/// proportion to their expected instances, and evenly within a region.
/// `regions` are those of the route; empty means all. Returns the whole limit
/// if no instance is expected.
microtoken_rate base_share(std::uint32_t limit_per_s,
                           std::map<core::region, unsigned> const& expected,
                           std::vector<core::region> const& regions);

/// This instance's share of one distributed rate limit. Instances lend each
/// other parts of their shares under leases. The lender lowers its share
/// before it sends a grant. The borrower raises its share when it receives the
/// grant and stops using it one lease after it sent the request. The lender
/// takes the rate back one lease and one margin after it received the request.
///
/// Error bound: while no more processes run than instances are expected, the
/// shares of all instances never add up to more than the limit, whichever
/// messages are lost, delayed, duplicated or reordered, and whichever instances
/// pause. Each process beyond that number, for example during a replacement,
/// adds at most one base share. Restarts do not raise the sum: since a
/// restarted instance does not know what it lent, it starts with the part that
/// it never lends and gets its base share after one lease and one margin. When
/// a document lowers the base share, rates lent before may exceed the new share
/// for at most one lease and one margin. Over a time t the fleet therefore
/// admits at most limit * t, plus one burst per instance, plus one request per
/// restart; a clock that runs fast adds in proportion.
///
/// Request threads may call try_take() and current() concurrently. All other
/// member functions must be called by one thread at a time.
class rate_share
{
public:
    /// Starts with credit for one request. A share counts as restarted only if
    /// the process, not the share, is younger than one lease and one margin.
    rate_share(rate_share_settings settings,
               limit_key key,
               instance_identity self,
               microtoken_rate base,
               core::time_point now);

    /// Admits one request if there is credit for it. Lock-free.
    bool try_take(core::time_point now);

    /// The share including borrowed rates.
    microtoken_rate current(core::time_point now) const;

    /// Replaces the base share after a change of the document.
    void update_base(microtoken_rate base, core::time_point now);

    /// Ends expired leases. Must be called every few hundred milliseconds. A
    /// late call leaves the share too low, never too high.
    void refresh(core::time_point now);

    /// Returns a request to send to a peer if the share was too small for the
    /// demand. `now` must be read before the message is sent.
    std::optional<share_request> make_request(core::time_point now);

    /// Handles a peer's request: lowers the share and returns the grant to
    /// send, if there is anything to lend. `now` must be read after the
    /// message was received.
    std::optional<share_grant> handle_request(share_request const& request,
                                              core::time_point now);

    /// Raises the share by a grant. Returns false if the grant does not match
    /// the latest request or its lease is over.
    bool handle_grant(share_grant const& grant, core::time_point now);

    limit_key const& key() const
    {
        return key_;
    }

    /// Whether no request was served or refused for `time` and no grant is in
    /// force. An idle share can be dropped; when it is created again, it starts
    /// with credit for one request.
    bool idle(core::time_point now, core::duration time) const;

private:
    /// A grant to a peer.
    struct lent_share
    {
        share_request request;
        microtoken_rate rate = 0;
        /// When the rate is taken back.
        core::time_point until;
    };

    /// A grant from a peer.
    struct borrowed_share
    {
        microtoken_rate rate = 0;
        /// When the rate must no longer be used.
        core::time_point until;
    };

    /// The latest share request, while its grant has not arrived.
    struct pending_request
    {
        std::uint64_t sequence = 0;
        microtoken_rate requested_rate = 0;
        core::time_point sent;
    };

    /// The state that request threads read.
    struct published_state
    {
        /// Credit accrued until `since`, in thousandths of a token.
        std::int64_t accrued = 0;
        /// Time from which the rates apply.
        core::time_point since;
        /// Result of own_rate() at `since`.
        microtoken_rate own = 0;
        /// Sum of the borrowed rates; applies until `borrowed_until`.
        microtoken_rate borrowed = 0;
        /// End of the borrowed rate that expires first.
        core::time_point borrowed_until;
    };

    published_state state() const;
    /// Credit accrued until a time, in thousandths of a token.
    static std::int64_t accrued(published_state const& published,
                                core::time_point now);
    /// Drops expired grants and publishes the resulting rates.
    void publish(core::time_point now);
    /// Base share less the rates lent, or less everything that an earlier
    /// process may have lent.
    microtoken_rate own_rate(core::time_point now) const;
    /// Sum of the rates lent.
    microtoken_rate lent_rate() const;
    /// The rate that can still be lent.
    microtoken_rate lendable_rate(core::time_point now) const;
    /// Whether a grant of an earlier process of this instance may still be in
    /// force.
    bool may_have_prior_loans(core::time_point now) const;
    /// Measures the demand since the last measurement.
    void measure_demand(core::time_point now);

    rate_share_settings settings_;
    limit_key key_;
    instance_identity self_;
    /// The share without any grant.
    microtoken_rate base_;
    /// Burst size in thousandths of a token.
    std::atomic<std::int64_t> burst_;
    /// The members of `published_state`, one per word.
    seqlock_array<5> published_;
    token_account spent_;
    /// Requests served since the last measurement.
    std::atomic<std::uint64_t> served_{0};
    /// Requests refused since the last measurement.
    std::atomic<std::uint64_t> refused_{0};
    /// Time of the last measurement of the demand.
    core::time_point last_measured_;
    /// Time of the last measurement that found any request.
    core::time_point last_used_;
    microtoken_rate served_rate_ = 0;
    microtoken_rate refused_rate_ = 0;
    /// Grants given to peers.
    std::vector<lent_share> lent_;
    /// Grants received from peers.
    std::vector<borrowed_share> borrowed_;
    std::optional<pending_request> pending_;
    /// When the latest share request was sent, whether or not it was granted.
    std::optional<core::time_point> last_request_sent_;
    /// Sequence number of the latest share request.
    std::uint64_t last_sequence_ = 0;
};

} // namespace kumquatloom::limits

#endif
