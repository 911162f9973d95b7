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
        // Most lines of large logs are of other requests.
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
            stories_[id].add(std::move(*line));
    }
    mark_interrupted();
}

void trace_index::mark_interrupted()
{
    for (auto& [id, trace] : stories_)
    {
        auto const* const last = trace.last();
        auto const start = last_starts_.find(last->instance);
        if (start != last_starts_.end() && start->second > last->time_ms)
            trace.interrupt();
    }
}

request_trace const& trace_index::trace(std::string const& id) const
{
    static request_trace const empty;
    auto const found = stories_.find(id);
    return found == stories_.end() ? empty : found->second;
}

std::array<std::size_t, static_cast<std::size_t>(failure_cause::count)>
trace_index::counts_by_cause() const
{
    std::array<std::size_t, static_cast<std::size_t>(failure_cause::count)>
        counts{};
    for (auto const& [id, trace] : stories_)
        ++counts[static_cast<std::size_t>(trace.cause())];
    return counts;
}

} // namespace kumquatloom::explain
