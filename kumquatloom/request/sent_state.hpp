#ifndef KUMQUATLOOM_REQUEST_SENT_STATE_HPP
#define KUMQUATLOOM_REQUEST_SENT_STATE_HPP

#include <string_view>

namespace kumquatloom::request
{

/// How far an attempt got in sending the request to its upstream.
enum class sent_state
{
    /// No byte was passed to the kernel.
    nothing_written,
    /// At least one byte was passed to the kernel.
    written,
    /// The upstream stated that it did not run the request.
    refused_by_upstream,
    count
};

/// The value of the metric label.
std::string_view to_string(sent_state value);

/// Whether the state proves that the attempt was not run.
bool proves_not_run(sent_state value);

} // namespace kumquatloom::request

#endif
