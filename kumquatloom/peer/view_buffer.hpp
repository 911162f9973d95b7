#ifndef KUMQUATLOOM_PEER_VIEW_BUFFER_HPP
#define KUMQUATLOOM_PEER_VIEW_BUFFER_HPP

#include <cstddef>
#include <streambuf>
#include <string_view>

namespace kumquatloom::peer
{

/// Stream buffer that reads bytes in place, without the copy that a string
/// stream makes.
class view_buffer : public std::streambuf
{
public:
    /// Reads from `bytes`, which must outlive the buffer.
    explicit view_buffer(std::string_view bytes)
    {
        // setg() takes mutable pointers, but a stream buffer that is only read
        // never writes through them.
        char* const first = const_cast<char*>(bytes.data());
        setg(first, first, first + bytes.size());
    }

    /// Number of unread bytes.
    std::size_t remaining() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

} // namespace kumquatloom::peer

#endif
