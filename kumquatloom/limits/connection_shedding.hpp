#ifndef KUMQUATLOOM_LIMITS_CONNECTION_SHEDDING_HPP
#define KUMQUATLOOM_LIMITS_CONNECTION_SHEDDING_HPP

#include <kumquatloom/core/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace kumquatloom::limits
{

/// What a caller's connection waits for.
enum class connection_phase
{
    /// The first byte of a request.
    idle,
    /// The rest of a request that has begun.
    reading,
    /// The response of an upstream to a complete request.
    executing,
    /// The caller, to read a response.
    writing
};

/// The two kinds of messages, each with memory of its own.
enum class message_kind
{
    request,
    response
};

/// What a connection has done, as far as it decides whether the connection is
/// closed to make room for others.
struct connection_activity
{
    connection_phase phase = connection_phase::idle;
    /// Whether the connection has carried a complete request.
    bool has_served = false;
    /// When the phase began, or when the caller last made sufficient progress
    /// in it.
    core::time_point progressed_at{};
    /// Memory held for the request of the connection, and for its responses.
    std::size_t request_bytes = 0;
    std::size_t response_bytes = 0;
};

/// When connections are closed to make room for others.
struct shedding_settings
{
    /// Time for which a connection that holds memory must have made no
    /// sufficient progress: longer than one retransmission after a lost packet
    /// (the minimum timeout is 200 ms).
    core::duration min_stall = std::chrono::milliseconds(250);
    /// Time for which callers reuse an idle connection.
    core::duration reuse_time = std::chrono::seconds(12);
};

/// How much is gained by closing the connection so that another one can be
/// accepted; 0 if it must not be closed. Those that never carried a complete
/// request come first, then idle ones that callers no longer reuse.
std::uint64_t connection_gain(connection_activity const& activity,
                              core::time_point now,
                              shedding_settings const& settings);

/// How much is gained by refusing the message of a connection so that another
/// one can use its memory; 0 if it must not be refused. The one that has held
/// the most for the longest time without progress comes first.
std::uint64_t memory_gain(connection_activity const& activity,
                          message_kind kind,
                          core::time_point now,
                          shedding_settings const& settings);

} // namespace kumquatloom::limits

#endif
