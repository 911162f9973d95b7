#ifndef KUMQUATLOOM_CLI_OPERATOR_REQUEST_HPP
#define KUMQUATLOOM_CLI_OPERATOR_REQUEST_HPP

#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::cli
{

/// Response of an instance to an operator's request.
struct operator_response
{
    /// HTTP status code.
    unsigned status = 0;
    /// Response body.
    std::string body;
};

/// Sends one request to the operators' port of an instance at "ip:port". Prints
/// an error and returns nothing if there is no response.
std::optional<operator_response>
send_operator_request(std::string const& address,
                      std::string_view method,
                      std::string_view path,
                      std::string body = {});

} // namespace kumquatloom::cli

#endif
