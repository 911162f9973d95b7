#include <kumquatloom/core/log_sink.hpp>

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace kumquatloom::core
{

namespace
{

/// A write of up to this size to a writable pipe does not block (PIPE_BUF).
constexpr std::size_t max_atomic_write_bytes = 4096;

} // namespace

log_sink::log_sink(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
{
}

void log_sink::write(std::string_view line)
{
    std::lock_guard const lock(mutex_);
    if (pending_.size() + line.size() + 1 > capacity_)
    {
        ++dropped_;
        return;
    }
    if (dropped_ != reported_)
    {
        pending_.append(R"({"level":"warning","event":"log_lines_dropped",)")
            .append(R"("count":)")
            .append(std::to_string(dropped_ - reported_))
            .append("}\n");
        reported_ = dropped_;
    }
    pending_.append(line).append("\n");
    if (pending_.size() >= max_atomic_write_bytes)
        while (write_some())
        {
        }
}

void log_sink::flush()
{
    std::lock_guard const lock(mutex_);
    while (write_some())
    {
    }
}

std::uint64_t log_sink::dropped() const
{
    std::lock_guard const lock(mutex_);
    return dropped_;
}

bool log_sink::write_some()
{
    if (pending_.empty())
        return false;
    pollfd writable{descriptor_, POLLOUT, 0};
    if (::poll(&writable, 1, 0) <= 0 || (writable.revents & POLLOUT) == 0)
        return false;
    auto const size = std::min(pending_.size(), max_atomic_write_bytes);
    auto const written = ::write(descriptor_, pending_.data(), size);
    if (written <= 0)
        return false;
    pending_.erase(0, static_cast<std::size_t>(written));
    return true;
}

} // namespace kumquatloom::core
