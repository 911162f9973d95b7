#include <kumquatloom/admission/target_check.hpp>
#include <kumquatloom/entry/entries_page.hpp>
#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/entry/proxy_handler.hpp>
#include <kumquatloom/entry/request_execution.hpp>
#include <kumquatloom/entry/request_logger.hpp>
#include <kumquatloom/entry/ticket_execution.hpp>

namespace kumquatloom::entry
{

namespace
{

using admission::refusal_reason;

/// Paths that the system answers itself.
constexpr std::string_view entries_path = "/.kumquatloom/entries";
constexpr std::string_view tickets_path = "/.kumquatloom/tickets";

/// Time after which an instance that has no document is expected to have one,
/// and one without upstreams to see some: a read of either and its way here.
constexpr std::chrono::milliseconds until_known{300};

/// When a request that was refused before any upstream was asked may come
/// again, if the reason goes away by itself.
std::optional<core::duration> come_back_after(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::no_document:
    case refusal_reason::no_upstream:
    case refusal_reason::draining:
    case refusal_reason::overloaded:
    case refusal_reason::rate_limited:
        return until_known;
    default:
        return std::nullopt;
    }
}

/// The failure domain in the query of a request for entries, if there is one.
/// Names with escaped characters are not found, as any unknown domain.
core::failure_domain asked_domain(std::string_view target)
{
    constexpr std::string_view key = "failure_domain=";
    auto const query = target.find('?');
    if (query == std::string_view::npos)
        return {};
    auto const start = target.find(key, query);
    if (start == std::string_view::npos)
        return {};
    auto const value = target.substr(start + key.size());
    return core::failure_domain(std::string(value.substr(0, value.find('&'))));
}

/// A place of the load shedder, given back on destruction.
class shedder_place
{
public:
    explicit shedder_place(limits::load_shedder& shedder)
        : shedder_(shedder)
    {
    }

    ~shedder_place()
    {
        shedder_.release();
    }

    shedder_place(shedder_place const&) = delete;
    shedder_place& operator=(shedder_place const&) = delete;

private:
    /// Where the place belongs.
    limits::load_shedder& shedder_;
};

} // namespace

proxy_handler::proxy_handler(asio::io_context& context,
                             instance_state& state,
                             std::size_t connection_limit)
    : state_(state)
    , parts_(context, state, connection_limit)
{
}

asio::awaitable<http_response> proxy_handler::answer(call& caller)
{
    // The system answers some paths itself.
    auto const path = admission::path_of(caller.facts().target);
    auto const reserved_path_prefix = state_.dialect.reserved_path_prefix;
    if (!reserved_path_prefix.empty() && path.starts_with(reserved_path_prefix))
        co_return answer_itself(caller, path);
    // Who asks, for which route, and may they?
    auto const admitted =
        state_.gate.admit(caller.facts(),
                          caller.received,
                          static_cast<std::uint32_t>(parts_.random()));
    if (!admitted)
    {
        log_refusal(state_, caller, admitted.error());
        caller.is_ambiguous =
            admission::is_framing_unreliable(admitted.error());
        co_return system_answer(
            admitted.error(),
            outcome_of(admitted.error(),
                       ticket_presence_of(caller.facts(), state_.dialect)),
            come_back_after(admitted.error()));
    }
    co_return co_await forward(caller, admitted.value());
}

http_response proxy_handler::refuse(refusal_reason reason,
                                    admission::ticket_presence ticket)
{
    state_.gate.count(reason);
    return system_answer(
        reason, outcome_of(reason, ticket), come_back_after(reason));
}

asio::awaitable<http_response>
proxy_handler::forward(call& caller,
                       admission::admitted_request const& admitted)
{
    auto const ticket = ticket_presence_of(caller.facts(), state_.dialect);
    // Is the organisation within its limit for the route?
    auto const document = state_.document.read();
    if (!state_.rates.try_take(admitted, *document, core::clock::now()))
    {
        log_refusal(state_, caller, refusal_reason::rate_limited);
        co_return refuse(refusal_reason::rate_limited, ticket);
    }
    // Has the instance a place for a request of this priority?
    if (!state_.shedder.try_admit(admitted.priority))
    {
        log_refusal(state_, caller, refusal_reason::overloaded);
        co_return refuse(refusal_reason::overloaded, ticket);
    }
    shedder_place const place(state_.shedder);
    co_return co_await run(caller, admitted);
}

asio::awaitable<http_response>
proxy_handler::run(call& caller, admission::admitted_request const& admitted)
{
    auto const queue = parts_.queues.of(admitted.service);
    if (!queue)
    {
        log_refusal(state_, caller, refusal_reason::no_upstream);
        co_return refuse(refusal_reason::no_upstream,
                         ticket_presence_of(caller.facts(), state_.dialect));
    }
    // A ticket decides who runs the request, and whether.
    if (admitted.ticket)
    {
        ticket_run run(parts_, caller, admitted, *queue);
        co_return co_await run.run();
    }
    request_run run(parts_, caller, admitted, *queue, caller.caller_left);
    co_return co_await run.run();
}

http_response proxy_handler::answer_itself(call& caller, std::string_view path)
{
    auto const known = state_.gate.authenticate_caller(caller.facts());
    if (!known)
        return system_answer(known.error(), outcome_of(known.error()));
    auto const& organisation = known.value().organisation;
    auto const method = caller.request.method();
    if (path == entries_path && method == http::verb::get)
        return json_response(http::status::ok,
                             entries_page(state_,
                                          organisation,
                                          asked_domain(caller.facts().target)));
    if (path == tickets_path && method == http::verb::post)
        return json_response(http::status::ok,
                             tickets_page(state_, organisation));
    return refuse(refusal_reason::unknown_path,
                  admission::ticket_presence::absent);
}

} // namespace kumquatloom::entry
