#ifndef KUMQUATLOOM_ENTRY_TICKET_EXECUTION_HPP
#define KUMQUATLOOM_ENTRY_TICKET_EXECUTION_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/worker_resources.hpp>
#include <kumquatloom/request/ticket_decision.hpp>

#include <boost/asio/steady_timer.hpp>

namespace kumquatloom::entry
{

class inbound_request;
class slot_queue;

/// Executes a request that carries a ticket: runs it if this instance issued
/// the ticket and it is unused, otherwise returns the stored response, waits
/// for the running request or forwards to the issuer.
class ticket_execution
{
public:
    /// All references must outlive the execution.
    ticket_execution(worker_resources& resources,
                     inbound_request& inbound,
                     admission::admitted_request const& admitted,
                     slot_queue& queue);

    /// The response to the caller.
    asio::awaitable<http_response> run();

private:
    request::ticket_decision decide() const;
    asio::awaitable<request::ticket_decision> wait_for_decision();
    asio::awaitable<http_response>
    run_here(request::ticket_decision const& decision);
    asio::awaitable<http_response>
    forward(request::ticket_decision const& decision);
    http_response refuse(admission::refusal_reason reason,
                         request::outcome outcome) const;

    /// Connections and queues of the worker.
    worker_resources& resources_;
    /// The inbound request.
    inbound_request& inbound_;
    /// Route, service and limits that admission determined.
    admission::admitted_request const& admitted_;
    /// Queue of requests that wait for a free slot of the service.
    slot_queue& queue_;
    /// Delays the next poll for a request that is running.
    asio::steady_timer timer_;
};

} // namespace kumquatloom::entry

#endif
