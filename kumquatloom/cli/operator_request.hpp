#ifndef KUMQUATLOOM_CLI_OPERATOR_REQUEST_HPP
#define KUMQUATLOOM_CLI_OPERATOR_REQUEST_HPP

#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::cli
{

/// The answer of an instance to an operator.
struct operator_answer
{
    /// HTTP status.
    unsigned status = 0;
    /// The body.
    std::string body;
};

/// Sends one request to the operators' port "ip:port" of an instance;
/// nothing, after an error line, if there is no answer.
std::optional<operator_answer> ask_instance(std::string const& address,
                                            std::string_view method,
                                            std::string_view path,
                                            std::string body = {});

} // namespace kumquatloom::cli

#endif
