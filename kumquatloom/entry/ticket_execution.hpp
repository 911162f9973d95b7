#ifndef KUMQUATLOOM_ENTRY_TICKET_EXECUTION_HPP
#define KUMQUATLOOM_ENTRY_TICKET_EXECUTION_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/worker_resources.hpp>
#include <kumquatloom/request/ticket_decision.hpp>

#include <boost/asio/steady_timer.hpp>

namespace kumquatloom::entry
{

class call;
class slot_queue;

/// Answers a request that carries a ticket: runs it if this instance issued
/// the ticket and nobody has used it, and otherwise finds out what became of
/// it.
class ticket_run
{
public:
    /// All references must outlive the run.
    ticket_run(worker_parts& parts,
               call& caller,
               admission::admitted_request const& admitted,
               slot_queue& queue);

    /// The answer.
    asio::awaitable<http_response> run();

private:
    request::ticket_decision decide() const;
    asio::awaitable<request::ticket_decision> decide_after_running();
    asio::awaitable<http_response>
    run_here(request::ticket_decision const& decision);
    asio::awaitable<http_response>
    forward(request::ticket_decision const& decision);
    http_response refuse(admission::refusal_reason reason,
                         request::outcome outcome) const;

    /// What the worker's requests use together.
    worker_parts& parts_;
    /// The caller's request.
    call& call_;
    /// What it is entitled to.
    admission::admitted_request const& admitted_;
    /// Waits for slots of the service.
    slot_queue& queue_;
    /// Paces the wait for a request that is running.
    asio::steady_timer timer_;
};

} // namespace kumquatloom::entry

#endif
