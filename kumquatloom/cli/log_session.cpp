#include <kumquatloom/cli/blocking.hpp>
#include <kumquatloom/cli/log_session.hpp>
#include <kumquatloom/core/clock.hpp>

#include <thread>
#include <utility>

namespace kumquatloom::cli
{

namespace
{

using namespace std::chrono_literals;

/// Time between two reads while waiting for an outcome.
constexpr auto poll_interval = 100ms;
/// Number of consecutive reads without progress after which reading fails.
constexpr std::size_t max_stalled_reads = 3;

std::string describe(log_service::append_error error)
{
    return "the append failed (" + std::string(to_string(error)) + ')';
}

} // namespace

log_session::log_session(settings::endpoint log)
    : client_(std::move(log))
    , reducer_({}, document::make_null_ejection_reducer())
    , follower_(reducer_)
{
}

std::optional<std::string> log_session::read_to_end()
{
    for (std::size_t stalled_reads = 0; stalled_reads < max_stalled_reads;)
    {
        auto const request = follower_.next_request();
        auto const page = run_blocking(client_.read(request.from, request.max));
        if (!page && page.error() == log_service::read_error::retention_cut)
        {
            auto const range = run_blocking(client_.read_range());
            if (!range)
                return "the log cannot be read (" +
                       std::string(to_string(range.error())) + ')';
            follower_.handle_retention_cut(range.value().first);
            ++stalled_reads;
            continue;
        }
        if (!page)
            return "the log cannot be read (" +
                   std::string(to_string(page.error())) + ')';
        auto const result = follower_.handle_page(request, page.value());
        if (result.event == document::follow_event::no_snapshot)
            return "the log holds neither its first records nor a snapshot";
        if (result.event == document::follow_event::truncated ||
            result.event == document::follow_event::diverged)
            return "the log lost or replaced records while it was read";
        // The state includes all records that the log contained at the time of
        // the read.
        if (result.head && *result.head == reducer_.state().next)
            return std::nullopt;
        bool const made_progress =
            result.event == document::follow_event::advanced ||
            result.event == document::follow_event::restored ||
            !page.value().records.empty();
        stalled_reads = made_progress ? 0 : stalled_reads + 1;
    }
    return "the log returned no records although its end was not reached";
}

document::edit_report log_session::append(document::edit_record const& edit,
                                          std::chrono::milliseconds timeout)
{
    document::edit_report report;
    report.id = edit.id;
    auto const appended = run_blocking(client_.append(document::to_text(edit)));
    bool const outcome_unknown =
        !appended && appended.error() == log_service::append_error::unknown;
    if (appended || outcome_unknown)
    {
        // The reason is reported if the outcome is not found in time.
        report.reason = appended ? "the record is in the log at offset " +
                                       std::to_string(appended.value()) +
                                       ", but could not be read back"
                                 : "the response of the log was lost";
        return wait_for(std::move(report), timeout);
    }
    report.result = document::edit_result::rejected;
    report.reason = describe(appended.error()) + "; nothing was appended";
    return report;
}

document::edit_report log_session::wait_for(document::edit_report report,
                                            std::chrono::milliseconds timeout)
{
    auto const deadline = core::clock::now() + timeout;
    for (;;)
    {
        read_to_end();
        if (auto const* const outcome = reducer_.find_outcome(report.id))
            return document::report_of(*outcome);
        if (core::clock::now() >= deadline)
            return report;
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace kumquatloom::cli
