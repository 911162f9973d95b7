#ifndef KUMQUATLOOM_SOAK_SOAK_SETTINGS_HPP
#define KUMQUATLOOM_SOAK_SOAK_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace kumquatloom::soak
{

/// How large a soak is and what it checks.
struct soak_settings
{
    /// Decides the faults, their order and their targets.
    std::uint64_t seed = 1;
    /// The program under test.
    std::string program = "build/kumquatloom";
    /// Folder for the logs of the instances.
    std::string log_folder = "/tmp";
    /// Second number of all IP addresses, so that several soaks can run on
    /// one machine: 127.NET.x.y.
    unsigned net = 100;
    /// Instances in each of the four failure domains.
    std::size_t instances_per_domain = 2;
    /// Upstreams of each of the two services.
    std::size_t upstreams_per_service = 6;
    /// Callers, each with one connection at a time.
    std::size_t callers = 24;
    /// Time with faults.
    std::chrono::milliseconds faults_for{12000};
    /// Time without faults before the end.
    std::chrono::milliseconds calm_for{8000};
    /// Whether promises with a time bound are checked. On a loaded machine
    /// they say more about the machine than about the program.
    bool timed = true;
    /// Most faults that overlap.
    std::size_t overlapping = 4;
};

} // namespace kumquatloom::soak

#endif
