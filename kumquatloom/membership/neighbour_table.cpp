#include <kumquatloom/membership/neighbour_table.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace kumquatloom::membership
{

neighbour_table::neighbour_table(neighbour_settings const& settings,
                                 std::string own_host,
                                 core::incarnation own_incarnation)
    : settings_(settings)
    , own_host_(std::move(own_host))
    , own_incarnation_(own_incarnation)
{
}

bool neighbour_table::add_address(std::string const& host, core::time_point now)
{
    if (host == own_host_)
        return false;
    auto const [position, added] = neighbours_.try_emplace(host);
    if (added)
    {
        position->second.host = host;
        // Starts as suspect until it is heard from, but gets heartbeats.
        position->second.last_heard = now - settings_.suspect_after;
    }
    return added;
}

bool neighbour_table::record_heartbeat(received_heartbeat const& message,
                                       core::time_point now)
{
    if (message.host == own_host_)
        return false;
    add_address(message.host, now);
    auto& known = neighbours_.at(message.host);
    bool const is_older = std::tie(message.incarnation, message.sequence) <=
                          std::tie(known.incarnation, known.sequence);
    // Incarnations are derived from the system clock, which may be set back
    // before a restart. Reordered datagrams of an earlier process do not arrive
    // after such a long silence.
    bool const is_restart = message.incarnation < known.incarnation &&
                            now - known.last_heard >= settings_.suspect_after;
    if (is_older && !is_restart)
        return false;
    known.incarnation = message.incarnation;
    known.sequence = message.sequence;
    known.ready = message.ready;
    known.leaving = message.leaving;
    known.last_heard = now;
    return true;
}

void neighbour_table::expire(core::time_point now)
{
    std::erase_if(neighbours_,
                  [&](auto const& item)
                  {
                      return now - item.second.last_heard >
                             settings_.remove_after;
                  });
}

std::vector<std::string> neighbour_table::addresses() const
{
    std::vector<std::string> result;
    result.reserve(neighbours_.size());
    for (auto const& [host, item] : neighbours_)
        result.push_back(host);
    return result;
}

std::vector<neighbour> neighbour_table::live(core::time_point now) const
{
    std::vector<neighbour> result;
    for (auto const& [host, item] : neighbours_)
        if (now - item.last_heard < settings_.suspect_after)
            result.push_back(item);
    return result;
}

std::vector<std::string> neighbour_table::serving(core::time_point now) const
{
    std::vector<std::string> result;
    for (auto const& item : live(now))
        if (item.ready && !item.leaving)
            result.push_back(item.host);
    return result;
}

domain_rank neighbour_table::own_rank(core::time_point now) const
{
    domain_rank result;
    for (auto const& item : live(now))
    {
        if (item.leaving)
            continue;
        ++result.size;
        if (std::tie(item.incarnation, item.host) <
            std::tie(own_incarnation_, own_host_))
            ++result.rank;
    }
    return result;
}

domain_rank neighbour_table::start_rank(bool counts_silent,
                                        core::time_point now) const
{
    domain_rank result;
    for (auto const& [host, item] : neighbours_)
    {
        bool const is_live = now - item.last_heard < settings_.suspect_after;
        if (is_live ? item.leaving : !counts_silent)
            continue;
        ++result.size;
        if (host < own_host_)
            ++result.rank;
    }
    return result;
}

} // namespace kumquatloom::membership
