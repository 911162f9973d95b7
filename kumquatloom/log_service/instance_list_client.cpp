#include <kumquatloom/log_service/instance_list_client.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::log_service
{

namespace
{

namespace asio = boost::asio;

/// Maximum size of a list, which has at most 140,000 instances of about 250
/// bytes each.
constexpr std::size_t max_list_bytes = 64 * 1024 * 1024;

http_client_settings with_list_bound(http_client_settings settings)
{
    settings.max_body_bytes = std::max(settings.max_body_bytes, max_list_bytes);
    return settings;
}

constexpr unsigned status_ok = 200;

} // namespace

instance_list_client::instance_list_client(settings::endpoint server,
                                           http_client_settings settings)
    : client_(std::move(server), with_list_bound(settings))
{
}

asio::awaitable<instance_list_client::read_result>
instance_list_client::read() const
{
    auto const response = co_await client_.fetch("/instances");
    if (!response)
        co_return to_read_error(response.error());
    if (response.value().status != status_ok)
        co_return to_read_error(response.value().status);
    auto list = parse_instance_list(response.value().body);
    if (!list)
        co_return read_error::malformed;
    co_return std::move(*list);
}

} // namespace kumquatloom::log_service
