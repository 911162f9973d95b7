#include <kumquatloom/membership/sender_lateness_filters.hpp>

#include <algorithm>

namespace kumquatloom::membership
{

std::optional<core::duration>
sender_lateness_filters::lateness(core::instance_id const& sender,
                                  core::incarnation incarnation,
                                  std::chrono::milliseconds uptime,
                                  core::time_point now)
{
    if (!senders_.contains(sender))
        evict_oldest_if_full();
    auto& state = senders_[sender];
    if (state.incarnation != incarnation)
        state = {incarnation, lateness_filter(), now};
    state.last_message = now;
    bool const has_reference = state.filter.has_reference();
    auto const late = state.filter.lateness(uptime, now);
    if (!has_reference)
        return std::nullopt;
    return late;
}

void sender_lateness_filters::evict_oldest_if_full()
{
    if (senders_.size() < max_senders)
        return;
    senders_.erase(std::min_element(senders_.begin(),
                                    senders_.end(),
                                    [](auto const& left, auto const& right)
                                    {
                                        return left.second.last_message <
                                               right.second.last_message;
                                    }));
}

} // namespace kumquatloom::membership
