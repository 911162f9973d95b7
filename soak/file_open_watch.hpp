#ifndef KUMQUATLOOM_SOAK_FILE_OPEN_WATCH_HPP
#define KUMQUATLOOM_SOAK_FILE_OPEN_WATCH_HPP

#include <string>

namespace kumquatloom::soak
{

/// Observes whether a file has been opened.
class file_open_watch
{
public:
    /// Starts to watch the file. Throws std::runtime_error if this fails.
    explicit file_open_watch(std::string const& path);
    ~file_open_watch();

    file_open_watch(file_open_watch const&) = delete;
    file_open_watch& operator=(file_open_watch const&) = delete;

    /// Whether any process has opened the file since the watch started.
    bool was_opened();

private:
    /// Descriptor of the inotify instance.
    int descriptor_;
    bool opened_ = false;
};

} // namespace kumquatloom::soak

#endif
