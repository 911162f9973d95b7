#ifndef KUMQUATLOOM_ADMISSION_HEADER_CHECK_HPP
#define KUMQUATLOOM_ADMISSION_HEADER_CHECK_HPP

#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/admission/request_header_view.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace kumquatloom::admission
{

/// Bounds on request headers.
struct header_check_settings
{
    /// Most bytes of the request line and all fields.
    std::size_t header_bytes = 16 * 1024;
    /// Most fields.
    std::size_t fields = 100;
    /// Longest request target.
    std::size_t target_bytes = 8 * 1024;
    /// Largest body.
    std::uint64_t body_bytes = 1024 * 1024;
};

/// Refuses requests that this instance and an upstream could read in two
/// ways, whatever the parser before it accepts. Does not change after
/// construction.
class header_check
{
public:
    /// Takes the bounds.
    explicit header_check(header_check_settings settings);

    /// The first reason to refuse the request, or nothing.
    std::optional<refusal_reason> check(request_header_view const& facts) const;

private:
    /// Checks the size of the header and of each part.
    std::optional<refusal_reason>
    check_size(request_header_view const& facts) const;
    /// Checks how the end of the body is found.
    std::optional<refusal_reason>
    check_framing(request_header_view const& facts) const;

    /// Bounds.
    header_check_settings settings_;
};

} // namespace kumquatloom::admission

#endif
