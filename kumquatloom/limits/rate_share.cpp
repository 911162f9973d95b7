#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/limits/rate_share.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::limits
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::nanoseconds;

/// The demand is measured over at least this time, since shorter ones say
/// little about a rate.
constexpr std::chrono::milliseconds least_measurement{200};

std::int64_t to_word(core::time_point time)
{
    return duration_cast<nanoseconds>(time.time_since_epoch()).count();
}

core::time_point to_time(std::int64_t word)
{
    return core::time_point(nanoseconds(word));
}

std::int64_t burst_of(microtoken_rate base, core::duration time)
{
    return std::max(parts_per_token, earned_parts(base, time));
}

/// The rate of a number of requests in a time.
microtoken_rate rate_of(std::uint64_t requests, core::duration time)
{
    auto const seconds = std::chrono::duration<double>(time).count();
    return static_cast<microtoken_rate>(static_cast<double>(requests) *
                                        micro_rate_of_one / seconds);
}

/// Removes the elements whose time has come.
template <typename Share>
void drop_expired(std::vector<Share>& shares, core::time_point now)
{
    std::erase_if(shares,
                  [now](Share const& share)
                  {
                      return now >= share.until;
                  });
}

} // namespace

microtoken_rate base_share(std::uint32_t limit_per_s,
                           std::map<core::region, unsigned> const& expected,
                           std::vector<core::region> const& regions)
{
    std::int64_t instances = 0;
    for (auto const& [region, count] : expected)
        if (regions.empty() ||
            std::find(regions.begin(), regions.end(), region) != regions.end())
            instances += count;
    // A region's part is limit * its instances / all instances, and each of
    // its instances has the same part of that.
    return limit_per_s * micro_rate_of_one /
           std::max<std::int64_t>(instances, 1);
}

rate_share::rate_share(rate_share_settings settings,
                       limit_key key,
                       instance_identity self,
                       microtoken_rate base,
                       core::time_point now)
    : settings_(settings)
    , key_(std::move(key))
    , self_(std::move(self))
    , base_(base)
    , burst_(burst_of(base, settings.burst_time))
    , taken_(parts_per_token)
    , measured_(now)
    , used_(now)
{
    BOOST_ASSERT(settings.lendable_percent <= 100);
    words_.write({0, to_word(now), 0, 0, to_word(now)});
    publish(now);
}

bool rate_share::try_take(core::time_point now)
{
    bool const taken = taken_.take(earned(state(), now),
                                   burst_.load(std::memory_order_relaxed),
                                   parts_per_token);
    (taken ? served_ : refused_).fetch_add(1, std::memory_order_relaxed);
    return taken;
}

microtoken_rate rate_share::current(core::time_point now) const
{
    auto const now_in_force = state();
    return now_in_force.own +
           (now < now_in_force.borrowed_until ? now_in_force.borrowed : 0);
}

void rate_share::update_base(microtoken_rate base, core::time_point now)
{
    base_ = base;
    burst_.store(burst_of(base, settings_.burst_time),
                 std::memory_order_relaxed);
    publish(now);
}

void rate_share::refresh(core::time_point now)
{
    measure(now);
    publish(now);
}

std::optional<share_request> rate_share::ask(core::time_point now)
{
    measure(now);
    bool const too_early = asked_ && now - *asked_ < settings_.ask_interval;
    if (refused_rate_ == 0 || too_early ||
        borrowed_.size() >= settings_.max_grants)
        return std::nullopt;
    asked_ = now;
    // The time makes numbers unique even if an idle share was dropped and made
    // anew within one incarnation.
    last_number_ =
        std::max(last_number_ + 1, static_cast<std::uint64_t>(to_word(now)));
    pending_ = pending_request{last_number_, refused_rate_, now};
    return share_request{
        key_, self_.id, self_.incarnation, last_number_, refused_rate_};
}

std::optional<share_grant>
rate_share::handle_request(share_request const& request, core::time_point now)
{
    if (request.key != key_ || request.borrower == self_.id)
        return std::nullopt;
    measure(now);
    share_grant grant{key_,
                      self_.id,
                      request.borrower,
                      request.borrower_incarnation,
                      request.sequence,
                      0};
    drop_expired(lent_, now);
    for (auto const& lent : lent_)
    {
        if (lent.request.borrower != request.borrower ||
            lent.request.borrower_incarnation != request.borrower_incarnation ||
            lent.request.sequence < request.sequence)
            continue;
        // The request overtook a later one.
        if (lent.request.sequence > request.sequence)
            return std::nullopt;
        // The request was repeated, and so is its grant.
        grant.granted_rate = lent.rate;
        return grant;
    }
    grant.granted_rate = std::min(request.requested_rate, spare_rate(now));
    if (grant.granted_rate <= 0 || lent_.size() >= settings_.max_grants)
        return std::nullopt;
    // The share is lowered here, before the grant can be sent.
    lent_.push_back({request,
                     grant.granted_rate,
                     core::is_mutated(core::mutation::ignore_giver_lease)
                         ? now
                         : now + settings_.lease + settings_.margin});
    publish(now);
    return grant;
}

bool rate_share::handle_grant(share_grant const& grant, core::time_point now)
{
    bool const answers_pending =
        pending_ && grant.key == key_ && grant.borrower == self_.id &&
        grant.borrower_incarnation == self_.incarnation &&
        grant.sequence == pending_->sequence && grant.granted_rate > 0 &&
        grant.granted_rate <= pending_->requested_rate;
    if (!answers_pending)
        return false;
    auto const until = pending_->sent + settings_.lease;
    // A second copy of the grant must find no pending request.
    pending_.reset();
    if (now >= until)
        return false;
    borrowed_.push_back({grant.granted_rate, until});
    publish(now);
    return true;
}

bool rate_share::idle(core::time_point now, core::duration time) const
{
    return lent_.empty() && borrowed_.empty() && now - used_ >= time &&
           served_.load(std::memory_order_relaxed) == 0 &&
           refused_.load(std::memory_order_relaxed) == 0;
}

rate_share::published_state rate_share::state() const
{
    auto const words = words_.read();
    return {words[0], to_time(words[1]), words[2], words[3], to_time(words[4])};
}

std::int64_t rate_share::earned(published_state const& state,
                                core::time_point now)
{
    return state.earned + earned_parts(state.own, now - state.since) +
           earned_parts(state.borrowed,
                        std::min(now, state.borrowed_until) - state.since);
}

void rate_share::publish(core::time_point now)
{
    // A time before the last one would earn the time between them twice.
    now = std::max(now, state().since);
    drop_expired(lent_, now);
    drop_expired(borrowed_, now);
    microtoken_rate borrowed = 0;
    auto until = core::time_point::max();
    for (auto const& share : borrowed_)
    {
        borrowed += share.rate;
        until = std::min(until, share.until);
    }
    words_.write({earned(state(), now),
                  to_word(now),
                  own_rate(now),
                  borrowed,
                  to_word(until)});
}

microtoken_rate rate_share::own_rate(core::time_point now) const
{
    auto const kept = base_ - base_ * settings_.lendable_percent / 100;
    auto const own = starting(now) ? kept : base_ - lent_rate();
    return std::max<microtoken_rate>(own, 0);
}

microtoken_rate rate_share::lent_rate() const
{
    microtoken_rate sum = 0;
    for (auto const& share : lent_)
        sum += share.rate;
    return sum;
}

microtoken_rate rate_share::spare_rate(core::time_point now) const
{
    if (starting(now))
        return 0;
    auto const lendable =
        base_ * settings_.lendable_percent / 100 - lent_rate();
    // Half of what is unused stays for the instance's own growth.
    auto const unused = refused_rate_ > 0 ? 0 : own_rate(now) - served_rate_;
    return std::min(lendable, unused / 2);
}

bool rate_share::starting(core::time_point now) const
{
    return now - self_.started < settings_.lease + settings_.margin;
}

void rate_share::measure(core::time_point now)
{
    auto const time = now - measured_;
    if (time < least_measurement)
        return;
    auto const served = served_.exchange(0, std::memory_order_relaxed);
    auto const refused = refused_.exchange(0, std::memory_order_relaxed);
    served_rate_ = rate_of(served, time);
    refused_rate_ = rate_of(refused, time);
    measured_ = now;
    if (served + refused > 0)
        used_ = now;
}

} // namespace kumquatloom::limits
