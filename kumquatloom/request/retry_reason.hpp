#ifndef KUMQUATLOOM_REQUEST_RETRY_REASON_HPP
#define KUMQUATLOOM_REQUEST_RETRY_REASON_HPP

#include <string_view>

namespace kumquatloom::request
{

/// The failure of an attempt that another attempt makes up for.
enum class retry_reason
{
    connect_failure,
    refused,
    upstream_error,
    timeout,
    wrong_answer,
    cut_short,
    /// The first attempt is slow; a second one runs beside it.
    hedge,
    count
};

/// Text of the metric label.
std::string_view to_string(retry_reason value);

} // namespace kumquatloom::request

#endif
