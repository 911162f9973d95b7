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
/// Time between two looks at an empty queue.
constexpr std::chrono::milliseconds idle_interval{50};

std::function<double()> uniform_source()
{
    return [random = std::mt19937_64(std::random_device{}())]() mutable
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    };
}

} // namespace

std::string_view to_string(write_result result)
{
    switch (result)
    {
    case write_result::appended:
        return "appended";
    case write_result::failed:
        return "failed";
    case write_result::unknown:
        return "unknown";
    case write_result::discarded:
        return "discarded";
    case write_result::count:
        break;
    }
    return "";
}

log_writer::log_writer(boost::asio::io_context& context,
                       log_service::log_client const& client,
                       document::append_settings settings)
    : client_(client)
    , settings_(settings)
    , policy_(settings, uniform_source(), core::clock::now())
    , timer_(context)
{
}

boost::asio::awaitable<void> log_writer::run()
{
    while (!stopped_)
    {
        auto const now = core::clock::now();
        bool const may_write = !queue_.empty() && policy_.try_take(now);
        if (may_write)
        {
            co_await write_first();
            continue;
        }
        auto const wake = queue_.empty() ? now + idle_interval
                                         : std::max(policy_.next_attempt(now),
                                                    now + idle_interval);
        timer_.expires_at(wake);
        co_await timer_.async_wait(as_result);
    }
}

void log_writer::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void log_writer::append(std::string record, std::function<bool()> still_wanted)
{
    if (queue_.size() >= max_waiting)
    {
        results_.increment(write_result::discarded);
        return;
    }
    queue_.push_back({std::move(record), std::move(still_wanted)});
}

void log_writer::expect_instances(unsigned instances)
{
    if (instances == 0 || instances == settings_.instances)
        return;
    settings_.instances = instances;
    policy_ = document::append_policy(
        settings_, uniform_source(), core::clock::now());
}

boost::asio::awaitable<void> log_writer::write_first()
{
    auto const first = queue_.front();
    if (!first.still_wanted())
    {
        results_.increment(write_result::discarded);
        queue_.pop_front();
        co_return;
    }
    auto const result = co_await client_.append(first.text);
    if (result)
    {
        policy_.succeeded();
        results_.increment(write_result::appended);
        queue_.pop_front();
        co_return;
    }
    // A record whose reply was lost may be appended again: its id is applied
    // once.
    policy_.failed(core::clock::now());
    results_.increment(result.error() == log_service::append_error::unknown
                           ? write_result::unknown
                           : write_result::failed);
}

} // namespace kumquatloom::control
