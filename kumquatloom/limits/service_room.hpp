#ifndef KUMQUATLOOM_LIMITS_SERVICE_ROOM_HPP
#define KUMQUATLOOM_LIMITS_SERVICE_ROOM_HPP

#include <kumquatloom/limits/room_report.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <limits>

namespace kumquatloom::limits
{

/// The room for the requests to a service as one instance reports it to others.
/// Rates are in tenths per second.
struct service_room
{
    /// Hash of the service's name.
    std::uint32_t service = 0;
    /// Whether requests wait at the sender or were refused there lately.
    std::uint8_t is_short = 0;
    std::array<std::uint16_t, room_report::levels> arrivals{};
    std::uint16_t waiting = 0;
    std::uint16_t slots = 0;

    static service_room
    from(std::uint32_t service, bool is_short, room_report const& report)
    {
        service_room result;
        result.service = service;
        result.is_short = is_short ? 1 : 0;
        for (std::size_t i = 0; i < room_report::levels; ++i)
            result.arrivals[i] = rounded(report.arrivals_per_s[i] * scale);
        result.waiting = rounded(report.waiting);
        result.slots = rounded(report.slots_per_s * scale);
        return result;
    }

    room_report report() const
    {
        room_report result;
        for (std::size_t i = 0; i < room_report::levels; ++i)
            result.arrivals_per_s[i] = static_cast<float>(arrivals[i]) / scale;
        result.waiting = waiting;
        result.slots_per_s = static_cast<float>(slots) / scale;
        return result;
    }

    /// Serializes with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(service, is_short);
        for (auto& rate : arrivals)
            archive(rate);
        archive(waiting, slots);
    }

    friend bool operator==(service_room const&, service_room const&) = default;

private:
    static constexpr float scale = 10;

    static std::uint16_t rounded(float value)
    {
        constexpr float largest = std::numeric_limits<std::uint16_t>::max();
        return static_cast<std::uint16_t>(
            std::lround(std::clamp(value, 0.0F, largest)));
    }
};

} // namespace kumquatloom::limits

#endif
