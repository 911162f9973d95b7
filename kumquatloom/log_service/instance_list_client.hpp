#ifndef KUMQUATLOOM_LOG_SERVICE_INSTANCE_LIST_CLIENT_HPP
#define KUMQUATLOOM_LOG_SERVICE_INSTANCE_LIST_CLIENT_HPP

#include <kumquatloom/core/result.hpp>
#include <kumquatloom/log_service/error.hpp>
#include <kumquatloom/log_service/http_client.hpp>
#include <kumquatloom/log_service/instance_list.hpp>

#include <boost/asio/awaitable.hpp>

namespace kumquatloom::log_service
{

/// Client of the platform's instance list.
class instance_list_client
{
public:
    /// Result of a read.
    using read_result = core::result<instance_list, read_error>;

    /// Creates a client of the list at `server`; read() connects.
    explicit instance_list_client(settings::endpoint server,
                                  http_client_settings settings = {});

    /// Reads the whole list.
    boost::asio::awaitable<read_result> read() const;

private:
    /// Sends the requests.
    http_client client_;
};

} // namespace kumquatloom::log_service

#endif
