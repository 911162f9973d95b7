#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/caller_connections.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/limits/connection_shedding.hpp>

#include <cstdint>

namespace kumquatloom::entry
{

namespace
{

limits::shedding_settings shedding_settings_of(instance_state const& state)
{
    limits::shedding_settings settings;
    auto const document = state.document.read();
    core::duration const idle_timeout =
        document && document->limits ? document->limits->idle_timeout
                                     : state.settings.callers.idle_timeout;
    settings.reuse_time = idle_timeout * 4 / 5;
    return settings;
}

} // namespace

bool caller_connections::make_room()
{
    return state_.caller_connections <= state_.settings.callers.connections ||
           close_one();
}

bool caller_connections::close_one()
{
    auto const settings = shedding_settings_of(state_);
    auto const now = core::clock::now();
    auto* const session = best(
        [&](caller_session& candidate)
        {
            return limits::connection_gain(candidate.activity(), now, settings);
        });
    if (session == nullptr)
        return false;
    state_.events.increment(entry_event::caller_displaced);
    session->displace();
    return true;
}

bool caller_connections::free_memory(limits::message_kind kind,
                                     caller_session const* requester)
{
    auto const settings = shedding_settings_of(state_);
    auto const now = core::clock::now();
    auto* const session = best(
        [&](caller_session& candidate)
        {
            return limits::memory_gain(
                candidate.activity(), kind, now, settings);
        });
    if (session == nullptr || session == requester)
        return false;
    auto const& activity = session->activity();
    bool const is_reading = activity.phase == limits::connection_phase::reading;
    state_.events.increment(is_reading ? entry_event::caller_shed
                                       : entry_event::reader_shed);
    core::log_info(
        is_reading ? "caller_shed" : "reader_shed",
        {{"held_bytes", activity.request_bytes},
         {"held_response_bytes", activity.response_bytes},
         {"buffered_bytes", state_.buffered_requests.used()},
         {"buffered_response_bytes", state_.buffered_answers.used()}});
    session->refuse_for_memory();
    return true;
}

template <typename Gain>
caller_session* caller_connections::best(Gain gain)
{
    caller_session* result = nullptr;
    std::uint64_t highest = 0;
    for (auto& session : sessions_)
    {
        auto const value = gain(session);
        if (value <= highest)
            continue;
        highest = value;
        result = &session;
    }
    return result;
}

} // namespace kumquatloom::entry
