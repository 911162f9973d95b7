#ifndef KUMQUATLOOM_REQUEST_IDEMPOTENCY_HPP
#define KUMQUATLOOM_REQUEST_IDEMPOTENCY_HPP

#include <kumquatloom/document/document.hpp>

#include <optional>
#include <string_view>

namespace kumquatloom::request
{

/// Whether running a request twice has the same effect as running it once.
enum class idempotency
{
    idempotent,
    not_idempotent,
    count
};

/// Text for logs and metric labels.
std::string_view to_string(idempotency value);

/// Decides by the route's rule and the method. `header` is the value of
/// `Kumquatloom-Idempotent`: every value but "true" makes the request
/// non-idempotent, and none makes it idempotent.
idempotency idempotency_of(std::string_view method,
                           document::repeat_rule rule,
                           std::optional<std::string_view> header);

} // namespace kumquatloom::request

#endif
