#ifndef KUMQUATLOOM_CORE_HTTP_STATUS_HPP
#define KUMQUATLOOM_CORE_HTTP_STATUS_HPP

namespace kumquatloom::core
{

/// Whether a response with this status is final, so that it ends an exchange:
/// 200 to 599 (RFC 9110, section 15).
constexpr bool is_final_status(unsigned status)
{
    return status >= 200 && status <= 599;
}

/// Whether another response to the same request follows a response with this
/// status (RFC 9110, section 15.2). After a switch of protocols, 101, none
/// does.
constexpr bool is_interim_status(unsigned status)
{
    constexpr unsigned switching_protocols = 101;
    return status >= 100 && status <= 199 && status != switching_protocols;
}

} // namespace kumquatloom::core

#endif
