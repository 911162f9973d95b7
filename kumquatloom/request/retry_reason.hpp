#ifndef KUMQUATLOOM_REQUEST_RETRY_REASON_HPP
#define KUMQUATLOOM_REQUEST_RETRY_REASON_HPP

#include <string_view>

namespace kumquatloom::request
{

/// Why a further attempt is made: the failure of the previous one, or a hedge.
enum class retry_reason
{
    connect_failure,
    refused,
    upstream_error,
    timeout,
    wrong_answer,
    cut_short,
    /// The first attempt is slow; a second one runs concurrently.
    hedge,
    count
};

/// The value of the metric label.
std::string_view to_string(retry_reason value);

} // namespace kumquatloom::request

#endif
