#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/inbound_request.hpp>

#include <utility>

namespace kumquatloom::entry
{

call::call(http_request given,
           std::optional<std::uint64_t> length,
           core::time_point when)
    : request(std::move(given))
    , received(when)
    , fields_(header_views(request))
{
    facts_.method = as_view(request.method_string());
    facts_.target = as_view(request.target());
    facts_.version = request.version();
    facts_.fields = fields_;
    facts_.content_length = length;
    facts_.transfer_coding = request.chunked();
}

} // namespace kumquatloom::entry
