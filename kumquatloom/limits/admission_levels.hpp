#ifndef KUMQUATLOOM_LIMITS_ADMISSION_LEVELS_HPP
#define KUMQUATLOOM_LIMITS_ADMISSION_LEVELS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/admission_level.hpp>
#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/limits/room_report.hpp>
#include <kumquatloom/limits/service_room.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace kumquatloom::limits
{

/// The admission levels of an instance's services, and what it reports to
/// others for theirs. Reports are exchanged only about services for which room
/// is short somewhere. Not thread-safe.
class admission_levels
{
public:
    /// `max_services` bounds the services with a level, see make_update().
    explicit admission_levels(std::size_t max_services)
        : max_services_(max_services)
    {
    }

    /// Records what this instance observes of a service.
    void observe(std::uint32_t service,
                 room_report const& own,
                 bool is_short,
                 core::time_point now);

    /// Whether to refuse a new request to an observed service; see
    /// admission_level::refuses().
    bool refuses(std::uint32_t service,
                 priority value,
                 core::duration slack,
                 core::time_point now);

    /// The level of a service; see admission_level::value().
    double value(std::uint32_t service, core::time_point now) const;

    /// Adds the reports of another instance.
    void apply(std::uint32_t source,
               core::incarnation sender,
               std::uint32_t sequence,
               std::vector<service_room> const& rooms,
               core::time_point now);

    /// Updates the levels and removes the services without requests.
    void update(core::time_point now);

    /// The reports to send: of the observed services for which room is short
    /// here or at an instance that said so lately.
    std::vector<service_room> make_update(core::time_point now) const;

private:
    /// State of one service.
    struct service_state
    {
        admission_level level;
        room_report own;
        core::time_point observed;
        /// When room was last short here, and at another instance.
        core::time_point own_shortage;
        core::time_point other_shortage;
    };

    std::size_t max_services_;
    /// Services with recent requests by the hash of their name.
    std::unordered_map<std::uint32_t, service_state> services_;
};

} // namespace kumquatloom::limits

#endif
