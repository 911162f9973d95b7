#ifndef KUMQUATLOOM_ADMISSION_HEADER_CHECK_HPP
#define KUMQUATLOOM_ADMISSION_HEADER_CHECK_HPP

#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/admission/request_header_view.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace kumquatloom::admission
{

/// Limits on the size of requests.
struct header_check_settings
{
    /// Largest size of the request line and all fields.
    std::size_t header_bytes = 16 * 1024;
    /// Largest number of fields.
    std::size_t fields = 100;
    /// Largest size of the request target.
    std::size_t target_bytes = 8 * 1024;
    /// Largest size of the body.
    std::uint64_t body_bytes = 1024 * 1024;
};

/// Refuses requests that this instance and an upstream could interpret
/// differently, which guards against request smuggling even where the HTTP
/// parser is lenient. Immutable.
class header_check
{
public:
    explicit header_check(header_check_settings settings);

    /// The first reason to refuse the request, or nothing.
    std::optional<refusal_reason>
    check(request_header_view const& header) const;

private:
    /// Checks the size of the header, the size of the target and the number of
    /// fields.
    std::optional<refusal_reason>
    check_size(request_header_view const& header) const;
    /// Checks that the framing of the body is unambiguous.
    std::optional<refusal_reason>
    check_framing(request_header_view const& header) const;

    /// Limits on the size of requests.
    header_check_settings settings_;
};

} // namespace kumquatloom::admission

#endif
