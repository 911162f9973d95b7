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

class call;
struct instance_state;

/// Logs that a request was refused before an upstream was chosen for it.
void log_refusal(instance_state const& state,
                 call const& caller,
                 admission::refusal_reason reason);

/// The log lines of one admitted request: each attempt with what decided it,
/// how it ended, and the answer.
class request_journal
{
public:
    /// Everything must outlive the journal.
    request_journal(instance_state const& state,
                    call const& caller,
                    admission::admitted_request const& admitted);

    /// An upstream was chosen for an attempt.
    void attempt_started(std::size_t number,
                         routing::pick const& chosen,
                         std::string_view cause) const;

    /// The attempt ended.
    void attempt_ended(std::size_t number,
                       routing::pick const& chosen,
                       exchange_result const& result) const;

    /// Another upstream has answered at the address of the chosen one, which
    /// gets nothing more.
    void upstream_replaced(routing::pick const& chosen) const;

    /// The request was answered by an upstream (without a reason) or by this
    /// system.
    void answered(unsigned status,
                  request::outcome outcome,
                  std::optional<admission::refusal_reason> reason,
                  std::size_t attempts,
                  std::size_t waiting) const;

private:
    /// Versions of what decisions rest on.
    instance_state const& state_;
    /// The caller's request.
    call const& call_;
    /// What it is entitled to.
    admission::admitted_request const& admitted_;
    /// Id of the request in all lines.
    std::string id_;
};

} // namespace kumquatloom::entry

#endif
