#include <array>
#include <soak/file_open_watch.hpp>
#include <stdexcept>
#include <sys/inotify.h>
#include <unistd.h>

namespace kumquatloom::soak
{

namespace
{

/// Bytes for inotify events; an event of a watched file takes 16.
constexpr std::size_t event_buffer_size = 256;

} // namespace

file_open_watch::file_open_watch(std::string const& path)
    : descriptor_(::inotify_init1(IN_NONBLOCK | IN_CLOEXEC))
{
    if (descriptor_ < 0)
        throw std::runtime_error("cannot create an inotify instance");
    if (::inotify_add_watch(descriptor_, path.c_str(), IN_OPEN) < 0)
    {
        ::close(descriptor_);
        throw std::runtime_error("cannot watch " + path);
    }
}

file_open_watch::~file_open_watch()
{
    ::close(descriptor_);
}

bool file_open_watch::was_opened()
{
    std::array<char, event_buffer_size> events{};
    opened_ = opened_ || ::read(descriptor_, events.data(), events.size()) > 0;
    return opened_;
}

} // namespace kumquatloom::soak
