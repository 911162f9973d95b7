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

/// Shortest time over which the demand is measured: shorter intervals contain
/// too few requests for a rate.
constexpr std::chrono::milliseconds min_measurement_time{200};

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
    return std::max(millitokens_per_token, accrued_millitokens(base, time));
}

/// The rate that a number of requests within `time` amounts to.
microtoken_rate rate_of(std::uint64_t requests, core::duration time)
{
    auto const seconds = std::chrono::duration<double>(time).count();
    return static_cast<microtoken_rate>(static_cast<double>(requests) *
                                        microtokens_per_token / seconds);
}

/// Removes the shares whose lease has ended.
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
    // A region gets limit * its instances / all instances. Divided by its
    // instances, this is the same for every region.
    return limit_per_s * microtokens_per_token /
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
    , spent_(millitokens_per_token)
    , last_measured_(now)
    , last_used_(now)
{
    BOOST_ASSERT(settings.lendable_percent <= 100);
    published_.write({0, to_word(now), 0, 0, to_word(now)});
    publish(now);
}

bool rate_share::try_take(core::time_point now)
{
    bool const taken = spent_.try_spend(accrued(state(), now),
                                        burst_.load(std::memory_order_relaxed),
                                        millitokens_per_token);
    (taken ? served_ : refused_).fetch_add(1, std::memory_order_relaxed);
    return taken;
}

microtoken_rate rate_share::current(core::time_point now) const
{
    auto const published = state();
    return published.own +
           (now < published.borrowed_until ? published.borrowed : 0);
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
    measure_demand(now);
    publish(now);
}

std::optional<share_request> rate_share::make_request(core::time_point now)
{
    measure_demand(now);
    bool const too_early = last_request_sent_ && now - *last_request_sent_ <
                                                     settings_.request_interval;
    if (refused_rate_ == 0 || too_early ||
        borrowed_.size() >= settings_.max_grants)
        return std::nullopt;
    last_request_sent_ = now;
    // The time keeps sequence numbers unique if an idle share was dropped and
    // created again within one incarnation.
    last_sequence_ =
        std::max(last_sequence_ + 1, static_cast<std::uint64_t>(to_word(now)));
    pending_ = pending_request{last_sequence_, refused_rate_, now};
    return share_request{
        key_, self_.id, self_.incarnation, last_sequence_, refused_rate_};
}

std::optional<share_grant>
rate_share::handle_request(share_request const& request, core::time_point now)
{
    if (request.key != key_ || request.borrower == self_.id)
        return std::nullopt;
    measure_demand(now);
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
        // A later request was handled before this one.
        if (lent.request.sequence > request.sequence)
            return std::nullopt;
        // A duplicate of a request that was granted: repeat the grant.
        grant.granted_rate = lent.rate;
        return grant;
    }
    grant.granted_rate = std::min(request.requested_rate, lendable_rate(now));
    if (grant.granted_rate <= 0 || lent_.size() >= settings_.max_grants)
        return std::nullopt;
    // Lower the share before the grant can be sent.
    lent_.push_back({request,
                     grant.granted_rate,
                     core::is_mutated(core::mutation::ignore_giver_lease)
                         ? now
                         : now + settings_.lease + settings_.lease_margin});
    publish(now);
    return grant;
}

bool rate_share::handle_grant(share_grant const& grant, core::time_point now)
{
    bool const matches_pending =
        pending_ && grant.key == key_ && grant.borrower == self_.id &&
        grant.borrower_incarnation == self_.incarnation &&
        grant.sequence == pending_->sequence && grant.granted_rate > 0 &&
        grant.granted_rate <= pending_->requested_rate;
    if (!matches_pending)
        return false;
    auto const until = pending_->sent + settings_.lease;
    // A duplicate of the grant must not raise the share again.
    pending_.reset();
    if (now >= until)
        return false;
    borrowed_.push_back({grant.granted_rate, until});
    publish(now);
    return true;
}

bool rate_share::idle(core::time_point now, core::duration time) const
{
    return lent_.empty() && borrowed_.empty() && now - last_used_ >= time &&
           served_.load(std::memory_order_relaxed) == 0 &&
           refused_.load(std::memory_order_relaxed) == 0;
}

rate_share::published_state rate_share::state() const
{
    auto const words = published_.read();
    return {words[0], to_time(words[1]), words[2], words[3], to_time(words[4])};
}

std::int64_t rate_share::accrued(published_state const& published,
                                 core::time_point now)
{
    return published.accrued +
           accrued_millitokens(published.own, now - published.since) +
           accrued_millitokens(published.borrowed,
                               std::min(now, published.borrowed_until) -
                                   published.since);
}

void rate_share::publish(core::time_point now)
{
    // If `now` were before the last publication, the time between the two
    // would accrue credit twice.
    now = std::max(now, state().since);
    drop_expired(lent_, now);
    drop_expired(borrowed_, now);
    microtoken_rate borrowed = 0;
    auto borrowed_until = core::time_point::max();
    for (auto const& share : borrowed_)
    {
        borrowed += share.rate;
        borrowed_until = std::min(borrowed_until, share.until);
    }
    published_.write({accrued(state(), now),
                      to_word(now),
                      own_rate(now),
                      borrowed,
                      to_word(borrowed_until)});
}

microtoken_rate rate_share::own_rate(core::time_point now) const
{
    auto const never_lent = base_ - base_ * settings_.lendable_percent / 100;
    auto const own =
        may_have_prior_loans(now) ? never_lent : base_ - lent_rate();
    return std::max<microtoken_rate>(own, 0);
}

microtoken_rate rate_share::lent_rate() const
{
    microtoken_rate sum = 0;
    for (auto const& share : lent_)
        sum += share.rate;
    return sum;
}

microtoken_rate rate_share::lendable_rate(core::time_point now) const
{
    if (may_have_prior_loans(now))
        return 0;
    auto const lendable =
        base_ * settings_.lendable_percent / 100 - lent_rate();
    // Keep half of the unused rate for growth of this instance's own demand.
    auto const unused = refused_rate_ > 0 ? 0 : own_rate(now) - served_rate_;
    return std::min(lendable, unused / 2);
}

bool rate_share::may_have_prior_loans(core::time_point now) const
{
    return now - self_.started < settings_.lease + settings_.lease_margin;
}

void rate_share::measure_demand(core::time_point now)
{
    auto const time = now - last_measured_;
    if (time < min_measurement_time)
        return;
    auto const served = served_.exchange(0, std::memory_order_relaxed);
    auto const refused = refused_.exchange(0, std::memory_order_relaxed);
    served_rate_ = rate_of(served, time);
    refused_rate_ = rate_of(refused, time);
    last_measured_ = now;
    if (served + refused > 0)
        last_used_ = now;
}

} // namespace kumquatloom::limits
