#include <kumquatloom/limits/admission_levels.hpp>

#include <chrono>

namespace kumquatloom::limits
{

namespace
{

/// Time for which a shortage is reported after its last sign, and after which a
/// service without requests is forgotten. Reports count as long at others.
constexpr std::chrono::seconds news_time{1};

} // namespace

void admission_levels::observe(std::uint32_t service,
                               room_report const& own,
                               bool is_short,
                               core::time_point now)
{
    if (!services_.contains(service) && services_.size() >= max_services_)
        return;
    auto& state = services_[service];
    state.own = own;
    state.observed = now;
    if (is_short)
        state.own_shortage = now;
}

bool admission_levels::refuses(std::uint32_t service,
                               priority value,
                               core::duration slack,
                               core::time_point now)
{
    auto const found = services_.find(service);
    return found != services_.end() &&
           found->second.level.refuses(value, slack, now);
}

double admission_levels::value(std::uint32_t service,
                               core::time_point now) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? 0 : found->second.level.value(now);
}

void admission_levels::apply(std::uint32_t source,
                             core::incarnation sender,
                             std::uint32_t sequence,
                             std::vector<service_room> const& rooms,
                             core::time_point now)
{
    for (auto const& room : rooms)
    {
        // Without own requests there is nothing to refuse.
        auto const found = services_.find(room.service);
        if (found == services_.end())
            continue;
        found->second.level.record(
            source, sender, sequence, room.report(), now);
        if (room.is_short != 0)
            found->second.other_shortage = now;
    }
}

void admission_levels::update(core::time_point now)
{
    std::erase_if(services_,
                  [now](auto const& item)
                  {
                      return now - item.second.observed > news_time;
                  });
    for (auto& [service, state] : services_)
        state.level.update(state.own, now);
}

std::vector<service_room>
admission_levels::make_update(core::time_point now) const
{
    std::vector<service_room> result;
    for (auto const& [service, state] : services_)
    {
        bool const is_short = now - state.own_shortage <= news_time;
        if (is_short || now - state.other_shortage <= news_time)
            result.push_back(service_room::from(service, is_short, state.own));
    }
    return result;
}

} // namespace kumquatloom::limits
