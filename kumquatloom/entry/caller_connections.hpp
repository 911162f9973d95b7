#ifndef KUMQUATLOOM_ENTRY_CALLER_CONNECTIONS_HPP
#define KUMQUATLOOM_ENTRY_CALLER_CONNECTIONS_HPP

#include <kumquatloom/entry/caller_session.hpp>

#include <boost/intrusive/list.hpp>

#include <cstddef>

namespace kumquatloom::entry
{

struct instance_state;

/// The callers' connections of one worker. Makes room by closing those that
/// hold most with least progress; see limits::connection_gain() and
/// limits::memory_gain().
class caller_connections
{
public:
    explicit caller_connections(instance_state& state)
        : state_(state)
    {
    }

    /// Adds a connection.
    void add(caller_session& session)
    {
        sessions_.push_back(session);
    }

    /// Whether another connection may be accepted, after one was closed if the
    /// limit is reached.
    bool make_room();

    /// Closes a connection whose closing frees the most places; false if none
    /// may be closed.
    bool close_one();

    /// Refuses the request or ends the response of a connection to free memory
    /// for another message of this kind; false if none may be ended, or if it
    /// would be that of `requester`, which may be null.
    bool free_memory(limits::message_kind kind,
                     caller_session const* requester);

    /// Calls a function with each connection.
    template <typename Function>
    void for_each(Function function)
    {
        for (auto& session : sessions_)
            function(session);
    }

private:
    template <typename Gain>
    caller_session* best(Gain gain);

    /// State shared by all threads of the instance.
    instance_state& state_;
    /// The open connections.
    boost::intrusive::list<caller_session,
                           boost::intrusive::constant_time_size<false>>
        sessions_;
};

} // namespace kumquatloom::entry

#endif
