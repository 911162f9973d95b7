#include <kumquatloom/request/stored_response.hpp>

namespace kumquatloom::request
{

std::size_t stored_response::bytes() const
{
    std::size_t sum = sizeof(stored_response) + body.size();
    for (auto const& field : fields)
        sum += sizeof(stored_field) + field.name.size() + field.value.size();
    return sum;
}

core::sha256_digest request_digest(std::string_view method,
                                   std::string_view target,
                                   std::string_view body)
{
    // Neither the method nor the target can contain a line feed, so different
    // requests never give the same text.
    std::string text;
    text.reserve(method.size() + target.size() + 2 +
                 sizeof(core::sha256_digest));
    text.append(method).append("\n").append(target).append("\n");
    text.append(core::as_bytes(core::sha256(body)));
    return core::sha256(text);
}

} // namespace kumquatloom::request
