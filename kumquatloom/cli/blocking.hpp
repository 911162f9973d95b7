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

/// Runs a coroutine to completion on the calling thread. Returns its result or
/// rethrows its exception.
template <typename Value>
Value run_blocking(boost::asio::awaitable<Value> operation)
{
    boost::asio::io_context context;
    std::optional<Value> result;
    std::exception_ptr failure;
    // A wrapper coroutine stores the result, because passing it to a completion
    // handler would require a default constructor.
    auto const store_result = [&]() -> boost::asio::awaitable<void>
    {
        result.emplace(co_await std::move(operation));
    };
    boost::asio::co_spawn(context,
                          store_result,
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
