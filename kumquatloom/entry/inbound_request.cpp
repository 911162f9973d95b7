#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/inbound_request.hpp>

#include <utility>

namespace kumquatloom::entry
{

inbound_request::inbound_request(http_request received_message,
                                 std::optional<std::uint64_t> length,
                                 core::time_point read_at)
    : message(std::move(received_message))
    , received_at(read_at)
    , fields_(header_views(message))
{
    facts_.method = as_view(message.method_string());
    facts_.target = as_view(message.target());
    facts_.version = message.version();
    facts_.fields = fields_;
    facts_.content_length = length;
    facts_.transfer_coding = message.chunked();
}

} // namespace kumquatloom::entry
