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

/// The value for logs and metric labels.
std::string_view to_string(idempotency value);

/// Classifies a request by the rule of its route and its method. `header` is
/// the value of `Kumquatloom-Idempotent`. Any value other than "true" makes the
/// request non-idempotent; no value can make it idempotent.
idempotency idempotency_of(std::string_view method,
                           document::repeat_rule rule,
                           std::optional<std::string_view> header);

} // namespace kumquatloom::request

#endif
