#ifndef KUMQUATLOOM_CORE_LOG_SINK_HPP
#define KUMQUATLOOM_CORE_LOG_SINK_HPP

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace kumquatloom::core
{

/// Writes lines to a file descriptor without blocking. Lines that a slow reader
/// has not taken wait in a bounded buffer; further ones are dropped and
/// counted. Thread-safe.
class log_sink
{
public:
    /// Size of the buffer in bytes: a few seconds of lines, and small compared
    /// with the memory of an instance.
    static constexpr std::size_t default_capacity = 128 * 1024;

    /// Writes to the descriptor, which must outlive the sink.
    explicit log_sink(int descriptor, std::size_t capacity = default_capacity);

    /// Buffers a line, given without a line break, or drops it if the buffer is
    /// full. Flushes a buffer of 4 KiB or more.
    void write(std::string_view line);

    /// Writes as much of the buffer as is possible without blocking.
    void flush();

    /// Number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    /// Writes a part of the buffer; false if it is empty or would block.
    bool write_some();

    /// Protects the buffer and the counters.
    mutable std::mutex mutex_;
    /// Descriptor to which lines are written.
    int descriptor_;
    /// Size of `pending_` in bytes above which lines are dropped. The warning
    /// about dropped lines does not count.
    std::size_t capacity_;
    /// Lines that have not been written yet.
    std::string pending_;
    /// Number of lines dropped so far.
    std::uint64_t dropped_ = 0;
    /// Number of dropped lines that warnings in the log have reported so far.
    std::uint64_t reported_ = 0;
};

} // namespace kumquatloom::core

#endif
