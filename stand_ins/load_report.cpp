#include <algorithm>
#include <stand_ins/load_report.hpp>

namespace kumquatloom::stand_ins
{

bool load_report::invariants_hold() const
{
    return wrong == 0 && double_executions == 0 && false_not_run == 0 &&
           false_completed == 0 && late_work_to_leaving == 0 &&
           unread_audits == 0;
}

std::chrono::microseconds load_report::latency_percentile(double percent) const
{
    if (latencies.empty())
        return {};
    auto sorted = latencies;
    std::sort(sorted.begin(), sorted.end());
    auto const rank = static_cast<std::size_t>(
        percent / 100.0 * static_cast<double>(sorted.size() - 1));
    return sorted[rank];
}

boost::json::object load_report::to_json() const
{
    return {{"requests", requests},
            {"completed", completed},
            {"not_run", not_run},
            {"unknown", unknown},
            {"no_answer", no_answer},
            {"upstream_errors", upstream_errors},
            {"wrong", wrong},
            {"late", late},
            {"resends", resends},
            {"double_executions", double_executions},
            {"false_not_run", false_not_run},
            {"false_completed", false_completed},
            {"late_work_to_leaving", late_work_to_leaving},
            {"unread_audits", unread_audits},
            {"p50_us", latency_percentile(50).count()},
            {"p99_us", latency_percentile(99).count()},
            {"p999_us", latency_percentile(99.9).count()},
            {"invariants_hold", invariants_hold()}};
}

} // namespace kumquatloom::stand_ins
