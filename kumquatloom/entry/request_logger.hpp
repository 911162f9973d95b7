#ifndef KUMQUATLOOM_ENTRY_REQUEST_LOGGER_HPP
#define KUMQUATLOOM_ENTRY_REQUEST_LOGGER_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/exchange_result.hpp>
#include <kumquatloom/request/outcome.hpp>
#include <kumquatloom/routing/pick.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::entry
{

class inbound_request;
struct instance_state;

/// Logs a request that was refused before an upstream was chosen.
void log_refusal(instance_state const& state,
                 inbound_request const& inbound,
                 admission::refusal_reason reason);

/// Logs that an upstream announced its departure in a response.
void log_upstream_left(routing::upstream const& target);

/// Logs that an upstream asked for a pause in a response.
void log_upstream_held(routing::upstream const& target, core::duration pause);

/// Logs the attempts of one admitted request with the state that each decision
/// was based on, their results, and the response.
class request_logger
{
public:
    /// All references must outlive the logger.
    request_logger(instance_state const& state,
                   inbound_request const& inbound,
                   admission::admitted_request const& admitted);

    /// Logs an attempt at the chosen upstream.
    void attempt_started(std::size_t number,
                         routing::pick const& chosen,
                         std::string_view cause) const;

    /// Logs the result of an attempt.
    void attempt_ended(std::size_t number,
                       routing::pick const& chosen,
                       exchange_result const& result) const;

    /// Logs that another upstream answered at the address of the chosen one,
    /// which therefore gets no more requests.
    void upstream_replaced(routing::pick const& chosen) const;

    /// Logs the response. `reason` is empty if the response comes from an
    /// upstream.
    void answered(unsigned status,
                  request::outcome outcome,
                  std::optional<admission::refusal_reason> reason,
                  std::size_t attempts,
                  std::size_t waiting) const;

private:
    /// Provides the age of the upstream listing.
    instance_state const& state_;
    /// The inbound request.
    inbound_request const& inbound_;
    /// Route, service and limits that admission determined.
    admission::admitted_request const& admitted_;
    /// The request id, logged in every line.
    std::string id_;
};

} // namespace kumquatloom::entry

#endif
