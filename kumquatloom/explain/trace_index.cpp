#include <kumquatloom/explain/trace_index.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::explain
{

void trace_index::read(std::istream& input, std::string const& only)
{
    std::string text;
    while (std::getline(input, text))
    {
        // Skips the costly parsing of lines that belong to other requests.
        if (!only.empty() && text.find(only) == text.npos &&
            text.find("log_lines_dropped") == text.npos &&
            text.find(R"("started")") == text.npos)
            continue;
        auto line = parse_log_line(text);
        if (!line)
            continue;
        if (line->event == "log_lines_dropped")
            dropped_ += static_cast<std::size_t>(line->number("count"));
        if (line->event == "started")
        {
            auto& start = last_starts_[line->instance];
            start = std::max(start, line->time_ms);
        }
        auto const id = line->text("request");
        if (!id.empty() && (only.empty() || id == only))
            traces_[id].add(std::move(*line));
    }
    mark_restarted_requests();
}

void trace_index::mark_restarted_requests()
{
    for (auto& [id, request] : traces_)
    {
        auto const* const latest = request.latest_line();
        auto const start = last_starts_.find(latest->instance);
        if (start != last_starts_.end() && start->second > latest->time_ms)
            request.mark_restarted();
    }
}

request_trace const& trace_index::trace(std::string const& id) const
{
    static request_trace const empty;
    auto const found = traces_.find(id);
    return found == traces_.end() ? empty : found->second;
}

std::array<std::size_t, static_cast<std::size_t>(failure_cause::count)>
trace_index::counts_by_cause() const
{
    std::array<std::size_t, static_cast<std::size_t>(failure_cause::count)>
        counts{};
    for (auto const& [id, request] : traces_)
        ++counts[static_cast<std::size_t>(request.cause())];
    return counts;
}

} // namespace kumquatloom::explain
