#include <kumquatloom/document/freshness.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::document
{

void freshness::heard_from_log(core::time_point sent, core::log_offset next)
{
    add({sent, next});
}

void freshness::heard_from_peer(core::time_point sent,
                                core::duration age,
                                core::log_offset next)
{
    // A negative age would make the instance fresher than its question.
    add({sent - std::max(age, core::duration::zero()), next});
}

void freshness::reduced(core::log_offset next)
{
    next_ = std::max(next_, next);
    for (auto const& item : claims_)
        if (item.next <= next_ && (!as_of_ || *as_of_ < item.as_of))
            as_of_ = item.as_of;
    // A claim that is not newer than what holds already adds nothing.
    std::erase_if(claims_,
                  [&](claim const& item)
                  {
                      return item.next <= next_ ||
                             (as_of_ && item.as_of <= *as_of_);
                  });
}

std::optional<core::duration> freshness::age(core::time_point now) const
{
    if (!as_of_)
        return std::nullopt;
    return std::max(now - *as_of_, core::duration::zero());
}

bool freshness::is_within(core::duration lease, core::time_point now) const
{
    auto const current = age(now);
    return current && *current < lease;
}

void freshness::add(claim const& item)
{
    claims_.push_back(item);
    reduced(next_);
    if (claims_.size() > max_claims)
        claims_.erase(claims_.begin());
}

} // namespace kumquatloom::document
