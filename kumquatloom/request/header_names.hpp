#ifndef KUMQUATLOOM_REQUEST_HEADER_NAMES_HPP
#define KUMQUATLOOM_REQUEST_HEADER_NAMES_HPP

#include <string_view>

/// Names of the header fields of this system's own protocol.
namespace kumquatloom::request::header_names
{

inline constexpr std::string_view deadline_ms = "Kumquatloom-Deadline-Ms";
inline constexpr std::string_view ticket = "Kumquatloom-Ticket";
inline constexpr std::string_view idempotent = "Kumquatloom-Idempotent";
inline constexpr std::string_view priority = "Kumquatloom-Priority";
inline constexpr std::string_view request_id = "Kumquatloom-Request-Id";
inline constexpr std::string_view organisation = "Kumquatloom-Organisation";
inline constexpr std::string_view outcome = "Kumquatloom-Outcome";
inline constexpr std::string_view reason = "Kumquatloom-Reason";
inline constexpr std::string_view load = "Kumquatloom-Load";
inline constexpr std::string_view state = "Kumquatloom-State";
/// Value of `state` of an upstream that is leaving.
inline constexpr std::string_view leaving = "leaving";
/// Value of `outcome` for a request that was not run.
inline constexpr std::string_view not_run = "not-run";

} // namespace kumquatloom::request::header_names

#endif
