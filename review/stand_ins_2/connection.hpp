#ifndef KUMQUATLOOM_REVIEW_STAND_INS_2_CONNECTION_HPP
#define KUMQUATLOOM_REVIEW_STAND_INS_2_CONNECTION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::review
{

using steady = std::chrono::steady_clock;

/// The start line and the fields of a message; names are in lower case.
struct message_head
{
    std::string start_line;
    std::map<std::string, std::string> fields;

    /// The value of a field, or an empty text.
    std::string field(std::string const& name) const;
};

/// A TCP connection with blocking operations that have time limits.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();

    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;

    /// Connects to an address; nothing if that fails or takes longer than the
    /// limit. `receive_buffer` bounds the kernel's buffer unless it is 0.
    static std::optional<connection>
    open(std::string const& host,
         std::uint16_t port,
         int receive_buffer = 0,
         std::chrono::milliseconds limit = std::chrono::seconds(1));

    /// Sends all bytes; false if the connection ends before.
    bool send(std::string_view bytes);

    /// Receives up to `size` bytes; empty at the end of the connection, after
    /// an error or after the time limit.
    std::string receive(std::size_t size, std::chrono::milliseconds limit);

    /// Reads a head; nothing if the connection ends or the time is over.
    std::optional<message_head> read_head(std::chrono::milliseconds limit);

    /// Reads the body that the head announces; nothing if it is incomplete.
    std::optional<std::string> read_body(message_head const& head,
                                         std::chrono::milliseconds limit);

    /// From now on heads and bodies are read in parts of `size` bytes, each
    /// followed by a pause.
    void read_slowly(std::size_t size, std::chrono::milliseconds pause)
    {
        part_bytes_ = size;
        pause_ = pause;
    }

    /// Bytes received so far that read_head() and read_body() have not
    /// returned.
    std::size_t unused_bytes() const
    {
        return buffer_.size();
    }

    int descriptor() const
    {
        return descriptor_;
    }

    /// Ends blocked operations of other threads.
    void shut_down();

private:
    bool fill(steady::time_point until);

    int descriptor_ = -1;
    /// Bytes that were received and not used yet.
    std::string buffer_;
    std::size_t part_bytes_ = 64 * 1024;
    std::chrono::milliseconds pause_{0};
};

/// Listens on an address. Throws if that is not possible.
int listen_on(std::string const& host, std::uint16_t port);

} // namespace kumquatloom::review

#endif
