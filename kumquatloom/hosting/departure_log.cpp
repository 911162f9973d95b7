#include <kumquatloom/hosting/departure_log.hpp>

#include <algorithm>

namespace kumquatloom::hosting
{

namespace
{

/// How often each departure is sent. With one datagram in ten lost, one
/// neighbour in ten thousand misses it.
constexpr unsigned repetitions = 4;

} // namespace

void departure_log::add(departed_upstream const& departed)
{
    items_.push_front({departed, repetitions});
}

std::optional<departure_notice> departure_log::take_notice()
{
    if (items_.empty())
        return std::nullopt;
    departure_notice notice;
    auto const count = std::min(items_.size(), max_departures);
    for (std::size_t i = 0; i < count; ++i)
    {
        notice.upstreams.push_back(items_[i].departed);
        --items_[i].remaining;
    }
    // Those that did not fit come next.
    std::rotate(items_.begin(),
                items_.begin() + static_cast<std::ptrdiff_t>(count),
                items_.end());
    std::erase_if(items_,
                  [](item const& entry)
                  {
                      return entry.remaining == 0;
                  });
    return notice;
}

} // namespace kumquatloom::hosting
