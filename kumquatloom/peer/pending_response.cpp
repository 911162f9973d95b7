#include <kumquatloom/peer/pending_response.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace asio = boost::asio;

namespace kumquatloom::peer
{

/// Shared by all copies of a responder; ends the wait when the last copy is
/// destroyed.
class pending_response::handle : public boost::intrusive_ref_counter<handle>
{
public:
    explicit handle(boost::intrusive_ptr<pending_response> pending)
        : pending_(std::move(pending))
    {
    }

    ~handle()
    {
        finish(std::nullopt);
    }

    handle(handle const&) = delete;
    handle& operator=(handle const&) = delete;

    void finish(std::optional<message> response)
    {
        // Post even from the strand itself, so that this runs after wait() has
        // suspended.
        asio::post(
            pending_->strand_,
            [pending = pending_, response = std::move(response)]() mutable
            {
                pending->finish(std::move(response));
            });
    }

private:
    boost::intrusive_ptr<pending_response> pending_;
};

pending_response::pending_response(asio::any_io_executor strand)
    : strand_(std::move(strand))
    , timer_(strand_)
{
}

asio::awaitable<std::optional<message>>
pending_response::wait(core::time_point deadline)
{
    timer_.expires_at(deadline);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return std::move(response_);
}

std::function<void(message)> pending_response::make_responder(
    boost::intrusive_ptr<pending_response> const& pending)
{
    return [shared = boost::intrusive_ptr(new handle(pending))](message body)
    {
        shared->finish(std::move(body));
    };
}

void pending_response::finish(std::optional<message> response)
{
    if (response && !response_)
        response_ = std::move(response);
    timer_.cancel();
}

} // namespace kumquatloom::peer
