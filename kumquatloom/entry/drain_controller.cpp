#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/drain_controller.hpp>
#include <kumquatloom/entry/instance_state.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace kumquatloom::entry
{

drain_controller::drain_controller(asio::io_context& context,
                                   instance_state& state,
                                   std::chrono::milliseconds grace,
                                   std::function<void()> leaving,
                                   std::function<void()> finish)
    : context_(context)
    , state_(state)
    , grace_(grace)
    , leaving_(std::move(leaving))
    , finish_(std::move(finish))
    , timer_(context)
{
}

void drain_controller::begin(std::string_view cause)
{
    if (state_.leaving.exchange(true))
        return;
    core::log_info("leaving", {{"cause", std::string(cause)}});
    leaving_();
    timer_.expires_after(state_.settings.callers.entries_ttl + grace_);
    asio::co_spawn(context_, run(), asio::detached);
}

void drain_controller::end_wait()
{
    timer_.cancel();
}

asio::awaitable<void> drain_controller::run()
{
    co_await timer_.async_wait(as_result);
    core::log_info("finishing_requests");
    finish_();
}

} // namespace kumquatloom::entry
