#include <kumquatloom/document/activation_rule.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::document
{

activation_rule::activation_rule(activation_settings settings)
    : settings_(settings)
{
}

void activation_rule::offset_reduced(core::log_offset offset,
                                     core::time_point now)
{
    if (highest_reduced_ && offset <= *highest_reduced_)
        return;
    highest_reduced_ = offset;
    if (pending_.size() >= max_pending)
        pending_.back() = {offset, now};
    else
        pending_.push_back({offset, now});
}

void activation_rule::update(
    std::vector<std::optional<core::log_offset>> others, core::time_point now)
{
    // std::nullopt sorts below every offset, so the element at quorum_slack is
    // the highest offset that all but quorum_slack members have reduced.
    std::sort(others.begin(), others.end());
    std::optional<core::log_offset> quorum_offset = highest_reduced_;
    if (others.size() > settings_.quorum_slack)
        quorum_offset = std::min(quorum_offset, others[settings_.quorum_slack]);
    if (quorum_offset)
        activate(*quorum_offset);
    while (!pending_.empty() &&
           now - pending_.front().reduced_at >= settings_.max_wait)
        activate(pending_.front().offset);
}

void activation_rule::activate(core::log_offset offset)
{
    BOOST_ASSERT(highest_reduced_ && offset <= *highest_reduced_);
    if (!active_ || *active_ < offset)
        active_ = offset;
    while (!pending_.empty() && pending_.front().offset <= *active_)
        pending_.pop_front();
}

std::optional<core::time_point> activation_rule::next_deadline() const
{
    if (pending_.empty())
        return std::nullopt;
    return pending_.front().reduced_at + settings_.max_wait;
}

} // namespace kumquatloom::document
