#include <kumquatloom/entry/instance_state.hpp>

#include <utility>

namespace kumquatloom::entry
{

namespace
{

admission::header_check_settings
header_limits(settings::caller_settings const& callers)
{
    admission::header_check_settings limits;
    limits.header_bytes = callers.header_limit_bytes;
    limits.body_bytes = callers.body_limit_bytes;
    return limits;
}

std::vector<request::ticket_key> keys_of(settings::fleet_settings const& fleet)
{
    std::vector<request::ticket_key> keys;
    for (auto const& key : fleet.keys)
        keys.push_back({key.id, key.secret});
    return keys;
}

/// Each connection has at most one request in the instance.
limits::load_shedder_settings shedding(settings::caller_settings const& callers)
{
    limits::load_shedder_settings shedding;
    shedding.max_requests = callers.connections;
    return shedding;
}

} // namespace

instance_state::instance_state(settings::instance_settings given,
                               core::incarnation start_number,
                               request::wire_dialect const& spoken,
                               service_policy const& given_policy)
    : settings(std::move(given))
    , incarnation(start_number)
    , dialect(spoken)
    , gate(header_limits(settings.callers), settings.instance.region, dialect)
    , rates(given_policy.shares, {settings.instance.id, incarnation, started})
    , shedder(shedding(settings.callers))
    , policy(given_policy)
    , ticket_keys(keys_of(settings.fleet))
    , ticket_issuer(settings.instance.id, incarnation, ticket_keys)
    , ticket_table(given_policy.tickets)
    , tickets(ticket_issuer, ticket_keys, ticket_table)
    , buffered_answers(settings.memory.buffered_answers_bytes)
{
}

instance_state::~instance_state() = default;

} // namespace kumquatloom::entry
