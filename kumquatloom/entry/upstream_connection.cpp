#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/entry/upstream_connection.hpp>

#include <boost/asio/buffer.hpp>

#include <algorithm>

namespace kumquatloom::entry
{

upstream_connection::upstream_connection(asio::io_context& context)
    : stream_(context)
{
}

asio::awaitable<error_code>
upstream_connection::connect(tcp::endpoint peer, core::time_point deadline)
{
    stream_.expires_at(deadline);
    auto const [error] = co_await stream_.async_connect(peer, as_result);
    if (error)
        co_return error;
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    // is_reusable() peeks at the socket and must not block.
    stream_.socket().non_blocking(true, ignored);
    co_return error;
}

bool upstream_connection::is_reusable()
{
    if (!stream_.socket().is_open() || buffer_.size() != 0)
        return false;
    char byte = 0;
    error_code error;
    stream_.socket().receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

void upstream_connection::record_refusal(core::request_id const& id)
{
    refused_.push_back(core::stable_hash(id.value()));
}

bool upstream_connection::has_refused(core::request_id const& id) const
{
    return std::find(refused_.begin(),
                     refused_.end(),
                     core::stable_hash(id.value())) != refused_.end();
}

void upstream_connection::close()
{
    error_code ignored;
    stream_.socket().close(ignored);
}

} // namespace kumquatloom::entry
