#include <kumquatloom/entry/folded_line.hpp>

namespace kumquatloom::entry
{

bool has_folded_line(std::string_view bytes)
{
    constexpr std::string_view line_end = "\r\n";
    // Bytes after the empty line belong to the body.
    auto const header = bytes.substr(0, bytes.find("\r\n\r\n"));
    for (auto at = header.find(line_end); at != header.npos;
         at = header.find(line_end, at + line_end.size()))
    {
        auto const next = at + line_end.size();
        if (next < header.size() &&
            (header[next] == ' ' || header[next] == '\t'))
            return true;
    }
    return false;
}

} // namespace kumquatloom::entry
