#include <kumquatloom/document/freshness.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::document
{

void freshness::record_log_read(core::time_point sent, core::log_offset next)
{
    add({sent, next});
}

void freshness::record_peer_response(core::time_point sent,
                                     core::duration age,
                                     core::log_offset next)
{
    // A negative age would make the state fresher than the request.
    add({sent - std::max(age, core::duration::zero()), next});
}

void freshness::update_reduced(core::log_offset next)
{
    next_ = std::max(next_, next);
    for (auto const& item : pending_)
        if (item.next <= next_ && (!as_of_ || *as_of_ < item.as_of))
            as_of_ = item.as_of;
    // Drops confirmations that are applied or older than the current freshness.
    std::erase_if(pending_,
                  [&](confirmation const& item)
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

bool freshness::is_younger_than(core::duration lease,
                                core::time_point now) const
{
    auto const current = age(now);
    return current && *current < lease;
}

void freshness::add(confirmation const& item)
{
    pending_.push_back(item);
    update_reduced(next_);
    if (pending_.size() > max_pending)
        pending_.erase(pending_.begin());
}

} // namespace kumquatloom::document
