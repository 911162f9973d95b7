#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/request_logger.hpp>
#include <kumquatloom/routing/upstream.hpp>

#include <chrono>

namespace kumquatloom::entry
{

namespace
{

std::int64_t to_ms(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// The request id from the caller; empty if there is none.
std::string id_of(instance_state const& state, inbound_request const& inbound)
{
    auto const id =
        request::find_field(inbound.header().fields, state.dialect.request_id);
    return std::string(id.value_or(std::string_view()));
}

/// Age in milliseconds of instance_state::upstream_listing; -1 if it was never
/// read, as when the upstreams come from the platform's instance list.
std::int64_t listing_age_ms(instance_state const& state, core::time_point now)
{
    core::time_point const as_of(
        core::duration(state.listing_as_of.load(std::memory_order_relaxed)));
    return as_of == core::time_point() ? -1 : to_ms(now - as_of);
}

} // namespace

void log_refusal(instance_state const& state,
                 inbound_request const& inbound,
                 admission::refusal_reason reason)
{
    auto const table = state.gate.table();
    core::log_info("request_refused",
                   {{"request", id_of(state, inbound)},
                    {"target", inbound.header().target},
                    {"reason", to_string(reason)},
                    {"status", http_status(reason)},
                    {"document", table ? table->version() : 0}});
}

void log_upstream_left(routing::upstream const& target)
{
    auto const& endpoint = target.endpoint();
    core::log_info("upstream_left",
                   {{"upstream", endpoint.id.value()},
                    {"service", endpoint.service.value()},
                    {"address", endpoint.host},
                    {"port", endpoint.port},
                    {"in_flight", target.in_flight()}});
}

void log_upstream_held(routing::upstream const& target, core::duration pause)
{
    core::log_rate_limited("upstream_held",
                           {{"upstream", target.endpoint().id.value()},
                            {"service", target.endpoint().service.value()},
                            {"pause_ms", to_ms(pause)},
                            {"in_flight", target.in_flight()}});
}

request_logger::request_logger(instance_state const& state,
                               inbound_request const& inbound,
                               admission::admitted_request const& admitted)
    : state_(state)
    , inbound_(inbound)
    , admitted_(admitted)
    , id_(id_of(state, inbound))
{
}

void request_logger::attempt_started(std::size_t number,
                                     routing::pick const& chosen,
                                     std::string_view cause) const
{
    auto const now = core::clock::now();
    auto const& upstream = *chosen.object;
    core::log_rate_limited(
        "attempt_started",
        {{"request", id_},
         {"attempt", number},
         {"cause", cause},
         {"service", admitted_.service.value()},
         {"upstream", upstream.endpoint().id.value()},
         {"distance", to_string(chosen.tier)},
         {"standing", to_string(upstream.standing(now))},
         {"in_flight", upstream.in_flight()},
         {"known_in_flight", upstream.known_in_flight()},
         {"slots", upstream.endpoint().slots},
         {"list_age_ms", listing_age_ms(state_, now)},
         {"document", admitted_.table->version()},
         {"waited_ms", to_ms(now - inbound_.received_at)},
         {"behind_ms", to_ms(inbound_.behind_others)},
         {"left_ms", to_ms(admitted_.deadline.remaining(now))}});
}

void request_logger::attempt_ended(std::size_t number,
                                   routing::pick const& chosen,
                                   exchange_result const& result) const
{
    bool const answered = result.status == exchange_status::answered;
    auto const write = answered ? core::log_rate_limited : core::log_info;
    write("attempt_ended",
          {{"request", id_},
           {"attempt", number},
           {"upstream", chosen.object->endpoint().id.value()},
           {"end", to_string(result.status)},
           {"status", answered ? result.response.result_int() : 0U},
           {"latency_ms", to_ms(result.latency)}});
}

void request_logger::upstream_replaced(routing::pick const& chosen) const
{
    auto const& endpoint = chosen.object->endpoint();
    core::log_info(
        "upstream_replaced",
        {{"request", id_},
         {"upstream", endpoint.id.value()},
         {"address", endpoint.host},
         {"port", endpoint.port},
         {"list_age_ms", listing_age_ms(state_, core::clock::now())}});
}

void request_logger::answered(unsigned status,
                              request::outcome outcome,
                              std::optional<admission::refusal_reason> reason,
                              std::size_t attempts,
                              std::size_t waiting) const
{
    auto const now = core::clock::now();
    auto const total = now - inbound_.received_at;
    auto const target = admitted_.route.target_latency;
    bool const late = target.count() != 0 && total > target;
    // Errors and slow requests are logged whatever the load.
    bool const is_rate_limited = !reason && !late && status < 500;
    auto const write =
        is_rate_limited ? core::log_rate_limited : core::log_info;
    write("request_answered",
          {{"request", id_},
           {"route", admitted_.route.prefix},
           {"service", admitted_.service.value()},
           {"status", status},
           {"outcome", to_string(outcome)},
           {"reason", reason ? to_string(*reason) : std::string_view()},
           {"attempts", attempts},
           {"total_ms", to_ms(total)},
           {"behind_ms", to_ms(inbound_.behind_others)},
           {"ran_ahead", inbound_.runs_ahead},
           {"target_ms", target.count()},
           {"late", late},
           {"waiting", waiting},
           {"caller_left", inbound_.disconnect.requested()},
           {"document", admitted_.table->version()}});
}

} // namespace kumquatloom::entry
