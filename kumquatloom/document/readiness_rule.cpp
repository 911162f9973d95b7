#include <kumquatloom/document/readiness_rule.hpp>

#include <algorithm>

namespace kumquatloom::document
{

start_rule::start_rule(start_settings settings)
    : settings_(settings)
{
}

void start_rule::read_log_head(core::log_offset next)
{
    log_next_ = std::max(log_next_, std::optional(next));
}

void start_rule::told_of(core::instance_id const& member)
{
    members_.insert(member);
}

void start_rule::forget(core::instance_id const& member)
{
    members_.erase(member);
    answers_.erase(member);
}

void start_rule::heard_from(core::instance_id const& member,
                            bool sure,
                            core::log_offset next)
{
    members_.insert(member);
    auto& answer = answers_[member];
    answer.sure = sure;
    answer.next = std::max(answer.next, next);
}

std::optional<core::log_offset> start_rule::required_next() const
{
    if (log_next_)
        return log_next_;
    bool const enough_sure = sure_members() > settings_.quorum_slack;
    bool const half_heard = answers_.size() * 2 >= members_.size();
    if (!enough_sure || !half_heard)
        return std::nullopt;
    core::log_offset highest = 0;
    for (auto const& [member, answer] : answers_)
        highest = std::max(highest, answer.next);
    return highest;
}

bool start_rule::may_serve(core::log_offset next) const
{
    auto const required = required_next();
    return required && next >= *required;
}

std::size_t start_rule::sure_members() const
{
    return static_cast<std::size_t>(std::count_if(answers_.begin(),
                                                  answers_.end(),
                                                  [](auto const& entry)
                                                  {
                                                      return entry.second.sure;
                                                  }));
}

} // namespace kumquatloom::document
