#ifndef KUMQUATLOOM_ENTRY_HEADER_NAMES_HPP
#define KUMQUATLOOM_ENTRY_HEADER_NAMES_HPP

#include <string_view>

namespace kumquatloom::entry
{

/// Start of the names of all headers that only the system writes.
constexpr std::string_view own_header_prefix = "kumquatloom-";
/// Remaining time of a request in milliseconds.
constexpr std::string_view deadline_header = "Kumquatloom-Deadline-Ms";
/// Makes the handling of a request stricter: "false" forbids repetition.
constexpr std::string_view idempotent_header = "Kumquatloom-Idempotent";
/// What is known about the execution of a request.
constexpr std::string_view outcome_header = "Kumquatloom-Outcome";
/// Why the system itself answered.
constexpr std::string_view reason_header = "Kumquatloom-Reason";
/// Identifies one attempt on its way to an upstream and back.
constexpr std::string_view request_id_header = "Kumquatloom-Request-Id";
/// The authenticated organisation, for upstreams.
constexpr std::string_view organisation_header = "Kumquatloom-Organisation";
/// "leaving" when an upstream drains.
constexpr std::string_view state_header = "Kumquatloom-State";
/// Digest of the body by RFC 9530.
constexpr std::string_view digest_header = "Content-Digest";

} // namespace kumquatloom::entry

#endif
