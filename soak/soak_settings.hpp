#ifndef KUMQUATLOOM_SOAK_SOAK_SETTINGS_HPP
#define KUMQUATLOOM_SOAK_SOAK_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace kumquatloom::soak
{

/// Settings of a soak.
struct soak_settings
{
    /// Random seed; determines the faults, their order and their targets.
    std::uint64_t seed = 1;
    /// Path of the program under test.
    std::string program = "build/kumquatloom";
    /// Folder for the settings files and logs of the instances.
    std::string log_folder = "/tmp";
    /// Second octet of all IP addresses, 127.NET.x.y; distinct values let
    /// several soaks run on one machine.
    unsigned net = 100;
    /// Instances in each of the four failure domains.
    std::size_t instances_per_domain = 2;
    /// Number of upstreams of each of the two services.
    std::size_t upstreams_per_service = 6;
    /// Number of callers, each with one connection at a time.
    std::size_t callers = 24;
    /// Duration of the fault injection.
    std::chrono::milliseconds fault_time{12000};
    /// Duration of the recovery phase at the end, in which no planned
    /// fault starts.
    std::chrono::milliseconds recovery_time{8000};
    /// Whether guarantees with a time bound are checked. On a loaded machine
    /// the load can violate them without a fault in the program.
    bool checks_time_bounds = true;
    /// Maximum number of faults that overlap.
    std::size_t max_concurrent_faults = 4;
};

} // namespace kumquatloom::soak

#endif
