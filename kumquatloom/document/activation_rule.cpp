#include <kumquatloom/document/activation_rule.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::document
{

activation_rule::activation_rule(activation_settings settings)
    : settings_(settings)
{
}

void activation_rule::learned(core::log_offset offset, core::time_point now)
{
    if (newest_ && offset <= *newest_)
        return;
    newest_ = offset;
    if (waiting_.size() >= max_waiting)
        waiting_.back() = {offset, now};
    else
        waiting_.push_back({offset, now});
}

void activation_rule::update(
    std::vector<std::optional<core::log_offset>> others, core::time_point now)
{
    // An absent offset sorts below every other one.
    std::sort(others.begin(), others.end());
    std::optional<core::log_offset> held = newest_;
    if (others.size() > settings_.quorum_slack)
        held = std::min(held, others[settings_.quorum_slack]);
    if (held)
        activate(*held);
    while (!waiting_.empty() &&
           now - waiting_.front().at >= settings_.longest_wait)
        activate(waiting_.front().offset);
}

void activation_rule::activate(core::log_offset offset)
{
    BOOST_ASSERT(newest_ && offset <= *newest_);
    if (!active_ || *active_ < offset)
        active_ = offset;
    while (!waiting_.empty() && waiting_.front().offset <= *active_)
        waiting_.pop_front();
}

std::optional<core::time_point> activation_rule::next_deadline() const
{
    if (waiting_.empty())
        return std::nullopt;
    return waiting_.front().at + settings_.longest_wait;
}

} // namespace kumquatloom::document
