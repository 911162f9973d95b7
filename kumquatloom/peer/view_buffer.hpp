#ifndef KUMQUATLOOM_PEER_VIEW_BUFFER_HPP
#define KUMQUATLOOM_PEER_VIEW_BUFFER_HPP

#include <cstddef>
#include <streambuf>
#include <string_view>

namespace kumquatloom::peer
{

/// Lets a stream read bytes in place, without the copy of a string stream.
class view_buffer : public std::streambuf
{
public:
    /// Reads the bytes, which must outlive the buffer.
    explicit view_buffer(std::string_view bytes)
    {
        // The stream buffer takes mutable pointers but never writes here.
        char* const first = const_cast<char*>(bytes.data());
        setg(first, first, first + bytes.size());
    }

    /// Number of bytes that were not read.
    std::size_t remaining() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

} // namespace kumquatloom::peer

#endif
