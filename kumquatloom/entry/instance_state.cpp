#include <kumquatloom/entry/instance_state.hpp>

#include <utility>

namespace kumquatloom::entry
{

namespace
{

admission::header_check_settings
header_check_limits(settings::caller_settings const& callers)
{
    admission::header_check_settings limits;
    limits.header_bytes = callers.header_limit_bytes;
    limits.body_bytes = callers.body_limit_bytes;
    return limits;
}

std::vector<request::ticket_key>
ticket_keys_of(settings::fleet_settings const& fleet)
{
    std::vector<request::ticket_key> keys;
    for (auto const& key : fleet.keys)
        keys.push_back({key.id, key.secret});
    return keys;
}

/// A connection has at most one request in flight, so the connection limit
/// bounds the requests too.
limits::load_shedder_settings
shedder_settings(settings::caller_settings const& callers)
{
    limits::load_shedder_settings result;
    result.max_requests = callers.connections;
    return result;
}

} // namespace

instance_state::instance_state(settings::instance_settings initial_settings,
                               core::incarnation process_incarnation,
                               request::wire_dialect const& message_dialect,
                               service_policy const& initial_policy)
    : settings(std::move(initial_settings))
    , incarnation(process_incarnation)
    , dialect(message_dialect)
    , gate(header_check_limits(settings.callers),
           settings.instance.region,
           dialect)
    , rates(initial_policy.shares, {settings.instance.id, incarnation, started})
    , shedder(shedder_settings(settings.callers))
    , policy(initial_policy)
    , ticket_keys(ticket_keys_of(settings.fleet))
    , ticket_issuer(settings.instance.id, incarnation, ticket_keys)
    , ticket_table(initial_policy.tickets)
    , tickets(ticket_issuer, ticket_keys, ticket_table)
    , buffered_answers(settings.memory.buffered_answers_bytes)
    , buffered_requests(settings.memory.buffered_requests_bytes)
{
}

instance_state::~instance_state() = default;

} // namespace kumquatloom::entry
