#ifndef KUMQUATLOOM_CORE_LOG_SINK_HPP
#define KUMQUATLOOM_CORE_LOG_SINK_HPP

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace kumquatloom::core
{

/// Writes lines to a descriptor without ever blocking: what a slow reader does
/// not take is kept in a bounded buffer, and lines beyond it are dropped and
/// counted. Used by several threads at once.
class log_sink
{
public:
    /// Bytes that wait for a slow reader: some seconds of lines, and little
    /// beside the memory of an instance.
    static constexpr std::size_t default_capacity = 128 * 1024;

    /// Writes to the descriptor, which must outlive the sink.
    explicit log_sink(int descriptor, std::size_t capacity = default_capacity);

    /// Takes over a line without its end, or drops it.
    void write(std::string_view line);

    /// Writes as much as the reader takes at once.
    void flush();

    /// Lines that were dropped so far.
    std::uint64_t dropped() const;

private:
    bool write_some();

    /// Protects everything below.
    mutable std::mutex mutex_;
    /// Where the lines go.
    int descriptor_;
    /// Bound of `pending_`.
    std::size_t capacity_;
    /// Lines that were not written yet.
    std::string pending_;
    /// Lines that were dropped, and how many of them a line has told about.
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace kumquatloom::core

#endif
