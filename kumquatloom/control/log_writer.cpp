#include <kumquatloom/control/log_writer.hpp>
#include <kumquatloom/core/clock.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace kumquatloom::control
{

namespace
{

constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Time between two checks of an empty queue, and the shortest wait before the
/// append policy is tried again.
constexpr std::chrono::milliseconds poll_interval{50};

std::function<double()> make_uniform_source()
{
    return [random = std::mt19937_64(std::random_device{}())]() mutable
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    };
}

} // namespace

std::string_view to_string(append_result result)
{
    switch (result)
    {
    case append_result::appended:
        return "appended";
    case append_result::failed:
        return "failed";
    case append_result::unknown:
        return "unknown";
    case append_result::discarded:
        return "discarded";
    case append_result::count:
        break;
    }
    return "";
}

log_writer::log_writer(boost::asio::io_context& context,
                       log_service::log_client const& client,
                       document::append_settings settings)
    : client_(client)
    , settings_(settings)
    , policy_(settings, make_uniform_source(), core::clock::now())
    , timer_(context)
{
}

boost::asio::awaitable<void> log_writer::run()
{
    while (!stopped_)
    {
        auto const now = core::clock::now();
        bool const may_append = !queue_.empty() && policy_.try_acquire(now);
        if (may_append)
        {
            co_await append_first();
            continue;
        }
        auto const wake_at =
            queue_.empty()
                ? now + poll_interval
                : std::max(policy_.next_attempt(now), now + poll_interval);
        timer_.expires_at(wake_at);
        co_await timer_.async_wait(as_result);
    }
}

void log_writer::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void log_writer::append(std::string record, std::function<bool()> still_needed)
{
    if (queue_.size() >= max_queued)
    {
        results_.increment(append_result::discarded);
        return;
    }
    queue_.push_back({std::move(record), std::move(still_needed)});
}

void log_writer::update_instance_count(unsigned instances)
{
    if (instances == 0 || instances == settings_.instances)
        return;
    settings_.instances = instances;
    policy_ = document::append_policy(
        settings_, make_uniform_source(), core::clock::now());
}

boost::asio::awaitable<void> log_writer::append_first()
{
    auto const first = queue_.front();
    if (!first.still_needed())
    {
        results_.increment(append_result::discarded);
        queue_.pop_front();
        co_return;
    }
    auto const result = co_await client_.append(first.text);
    if (result)
    {
        policy_.record_success();
        results_.increment(append_result::appended);
        queue_.pop_front();
        co_return;
    }
    // The record stays queued. If only the response was lost, it is appended
    // twice, but the reducer applies each record id once.
    policy_.record_failure(core::clock::now());
    results_.increment(result.error() == log_service::append_error::unknown
                           ? append_result::unknown
                           : append_result::failed);
}

} // namespace kumquatloom::control
