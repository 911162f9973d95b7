#ifndef KUMQUATLOOM_CLI_BLOCKING_HPP
#define KUMQUATLOOM_CLI_BLOCKING_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace kumquatloom::cli
{

/// Runs one coroutine to its end on the calling thread.
template <typename Value>
Value run_blocking(boost::asio::awaitable<Value> work)
{
    boost::asio::io_context context;
    std::optional<Value> result;
    std::exception_ptr failure;
    // The value is stored by the coroutine, since not every result has the
    // default constructor that a completion handler needs.
    auto const keep = [&]() -> boost::asio::awaitable<void>
    {
        result.emplace(co_await std::move(work));
    };
    boost::asio::co_spawn(context,
                          keep,
                          [&](std::exception_ptr error)
                          {
                              failure = std::move(error);
                          });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    return std::move(*result);
}

} // namespace kumquatloom::cli

#endif
