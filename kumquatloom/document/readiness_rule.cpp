#include <kumquatloom/document/readiness_rule.hpp>

#include <algorithm>

namespace kumquatloom::document
{

readiness_rule::readiness_rule(readiness_settings settings)
    : settings_(settings)
{
}

void readiness_rule::update_log_head(core::log_offset next)
{
    log_head_ = std::max(log_head_, std::optional(next));
}

void readiness_rule::add_member(core::instance_id const& member)
{
    members_.insert(member);
}

void readiness_rule::remove_member(core::instance_id const& member)
{
    members_.erase(member);
    reports_.erase(member);
}

void readiness_rule::record_report(core::instance_id const& member,
                                   bool ready,
                                   core::log_offset next)
{
    members_.insert(member);
    auto& report = reports_[member];
    report.ready = ready;
    report.next = std::max(report.next, next);
}

std::optional<core::log_offset> readiness_rule::required_next() const
{
    if (log_head_)
        return log_head_;
    bool const enough_ready = ready_members() > settings_.quorum_slack;
    bool const half_reported = reports_.size() * 2 >= members_.size();
    if (!enough_ready || !half_reported)
        return std::nullopt;
    core::log_offset highest = 0;
    for (auto const& [member, report] : reports_)
        highest = std::max(highest, report.next);
    return highest;
}

bool readiness_rule::may_serve(core::log_offset next) const
{
    auto const required = required_next();
    return required && next >= *required;
}

std::size_t readiness_rule::ready_members() const
{
    return static_cast<std::size_t>(std::count_if(reports_.begin(),
                                                  reports_.end(),
                                                  [](auto const& entry)
                                                  {
                                                      return entry.second.ready;
                                                  }));
}

} // namespace kumquatloom::document
