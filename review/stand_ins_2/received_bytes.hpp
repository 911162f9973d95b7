#ifndef KUMQUATLOOM_REVIEW_STAND_INS_2_RECEIVED_BYTES_HPP
#define KUMQUATLOOM_REVIEW_STAND_INS_2_RECEIVED_BYTES_HPP

#include <cstddef>
#include <string>

namespace kumquatloom::review
{

/// Bytes that the connections to an IPv4 address have received and that the
/// process there has not read, as /proc/net/tcp states them.
std::size_t unread_bytes(std::string const& host);

} // namespace kumquatloom::review

#endif
