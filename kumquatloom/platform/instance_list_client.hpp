#ifndef KUMQUATLOOM_PLATFORM_INSTANCE_LIST_CLIENT_HPP
#define KUMQUATLOOM_PLATFORM_INSTANCE_LIST_CLIENT_HPP

#include <kumquatloom/core/result.hpp>
#include <kumquatloom/platform/error.hpp>
#include <kumquatloom/platform/http_client.hpp>
#include <kumquatloom/platform/instance_list.hpp>

#include <boost/asio/awaitable.hpp>

namespace kumquatloom::platform
{

/// Client of the platform's instance list.
class instance_list_client
{
public:
    /// Result of a read.
    using read_result = core::result<instance_list, read_error>;

    /// Talks to the list at `server`.
    explicit instance_list_client(settings::endpoint server,
                                  http_client_settings settings = {});

    /// Reads the whole list.
    boost::asio::awaitable<read_result> read() const;

private:
    /// Does the exchanges.
    http_client client_;
};

} // namespace kumquatloom::platform

#endif
