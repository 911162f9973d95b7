#ifndef KUMQUATLOOM_PEER_LIMITS_HPP
#define KUMQUATLOOM_PEER_LIMITS_HPP

#include <cstddef>

namespace kumquatloom::peer
{

/// Longest id or name.
inline constexpr std::size_t max_name_bytes = 64;
/// Longest "ip:port" text; an IPv6 address in brackets fits.
inline constexpr std::size_t max_address_bytes = 56;
/// Largest datagram, which fits the usual path MTU without fragments.
inline constexpr std::size_t max_datagram_bytes = 1200;
/// Largest frame on a stream. Together with the bound on connections it limits
/// the memory that peers can hold: 32 connections hold at most 8 MiB.
inline constexpr std::size_t max_stream_frame_bytes = 256 * 1024;
/// Largest opaque payload of a datagram.
inline constexpr std::size_t max_datagram_payload_bytes = 1000;
/// Largest opaque payload of a stream message.
inline constexpr std::size_t max_stream_payload_bytes = 64 * 1024;
/// Most suspicions in one heartbeat; the rest waits for the next one.
inline constexpr std::size_t max_suspicions = 8;
/// Most members of one cell.
inline constexpr std::size_t max_cell_members = 32;
/// Most records in one response.
inline constexpr std::size_t max_sync_records = 256;
/// Largest record, and largest part of a snapshot, in one response.
inline constexpr std::size_t max_record_bytes = 128 * 1024;

} // namespace kumquatloom::peer

#endif
