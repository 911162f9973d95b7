#ifndef KUMQUATLOOM_PEER_LIMITS_HPP
#define KUMQUATLOOM_PEER_LIMITS_HPP

#include <cstddef>

namespace kumquatloom::peer
{

/// Maximum length of an id or name.
inline constexpr std::size_t max_name_bytes = 64;
/// Maximum length of an "ip:port" text, enough for an IPv6 address in brackets.
inline constexpr std::size_t max_address_bytes = 56;
/// Maximum size of a datagram, which fits the usual path MTU without
/// fragmentation.
inline constexpr std::size_t max_datagram_bytes = 1200;
/// Maximum size of a frame on a stream. With the bound on connections it limits
/// the memory that peers can occupy: 8 MiB with 32 connections.
inline constexpr std::size_t max_stream_frame_bytes = 256 * 1024;
/// Maximum size of an opaque payload in a datagram.
inline constexpr std::size_t max_datagram_payload_bytes = 1000;
/// Maximum size of an opaque payload in a stream message.
inline constexpr std::size_t max_stream_payload_bytes = 64 * 1024;
/// Maximum number of suspicions in one heartbeat. If the sender suspects more
/// members, the heartbeat leaves out the others.
inline constexpr std::size_t max_suspicions = 8;
/// Maximum number of members of one cell.
inline constexpr std::size_t max_cell_members = 32;
/// Maximum number of records in one sync response.
inline constexpr std::size_t max_sync_records = 256;
/// Maximum size of a record, and of a part of a snapshot, in a sync response.
inline constexpr std::size_t max_record_bytes = 128 * 1024;

} // namespace kumquatloom::peer

#endif
