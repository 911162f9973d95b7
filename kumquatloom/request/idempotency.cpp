#include <kumquatloom/request/idempotency.hpp>

#include <algorithm>
#include <array>

namespace kumquatloom::request
{

namespace
{

constexpr std::array<std::string_view, 5> idempotent_methods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};

bool is_idempotent_by_rule(std::string_view method, document::repeat_rule rule)
{
    switch (rule)
    {
    case document::repeat_rule::by_method:
        return std::find(idempotent_methods.begin(),
                         idempotent_methods.end(),
                         method) != idempotent_methods.end();
    case document::repeat_rule::always:
        return true;
    case document::repeat_rule::never:
        break;
    }
    return false;
}

} // namespace

std::string_view to_string(idempotency value)
{
    switch (value)
    {
    case idempotency::idempotent:
        return "idempotent";
    case idempotency::not_idempotent:
        return "not-idempotent";
    case idempotency::count:
        break;
    }
    return {};
}

idempotency idempotency_of(std::string_view method,
                           document::repeat_rule rule,
                           std::optional<std::string_view> header)
{
    // An unknown value makes the request non-idempotent, the stricter class.
    bool const header_allows = !header || *header == "true";
    return header_allows && is_idempotent_by_rule(method, rule)
               ? idempotency::idempotent
               : idempotency::not_idempotent;
}

} // namespace kumquatloom::request
