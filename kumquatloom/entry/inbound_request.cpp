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
    header_.method = as_view(message.method_string());
    header_.target = as_view(message.target());
    header_.version = message.version();
    header_.fields = fields_;
    header_.content_length = length;
    header_.transfer_coding = message.chunked();
}

} // namespace kumquatloom::entry
