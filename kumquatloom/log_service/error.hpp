#ifndef KUMQUATLOOM_LOG_SERVICE_ERROR_HPP
#define KUMQUATLOOM_LOG_SERVICE_ERROR_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::log_service
{

/// Why an HTTP exchange with the platform has no response.
enum class http_error : std::uint8_t
{
    /// No connection was made, so the request was not sent.
    not_connected,
    /// The deadline passed after the connection was made.
    timed_out,
    /// The connection ended before the whole response.
    cut_short,
    /// The response is larger than the bound.
    too_large,
    /// The response is not HTTP.
    malformed
};

/// Why a read of the log or of the instance list gave nothing.
enum class read_error : std::uint8_t
{
    /// The service could not be reached or did not answer in time.
    unreachable,
    /// The service answered that it is in an outage.
    outage,
    /// The service asks for fewer requests.
    rate_limited,
    /// The requested records are no longer retained.
    retention_cut,
    /// The response does not have the agreed form or exceeds a bound.
    malformed
};

/// Why an append gave no offset.
enum class append_error : std::uint8_t
{
    /// No connection was made: the record was not appended.
    unreachable,
    /// The log answered that it is in an outage: it was not appended.
    outage,
    /// The log asks for fewer appends: it was not appended.
    rate_limited,
    /// The log refused the request for good: it was not appended.
    refused,
    /// The reply was lost: the record may be in the log, now or later.
    unknown
};

/// Name of an error for operators and metric labels.
std::string_view to_string(http_error error);
/// Name of an error for operators and metric labels.
std::string_view to_string(read_error error);
/// Name of an error for operators and metric labels.
std::string_view to_string(append_error error);

/// The read error that a status other than 200 amounts to.
read_error to_read_error(unsigned status);

/// The read error that a lost HTTP exchange amounts to.
read_error to_read_error(http_error error);

} // namespace kumquatloom::log_service

#endif
