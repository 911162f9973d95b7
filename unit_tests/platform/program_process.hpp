#ifndef KUMQUATLOOM_UNIT_TESTS_PLATFORM_PROGRAM_PROCESS_HPP
#define KUMQUATLOOM_UNIT_TESTS_PLATFORM_PROGRAM_PROCESS_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>

namespace kumquatloom::unit_tests
{

/// An instance of the program in a process of its own, so that its memory can
/// be observed. The destructor kills it.
class program_process
{
public:
    /// Ports of the instance.
    static constexpr std::uint16_t callers_port = 8144;
    static constexpr std::uint16_t readiness_port = 8140;
    static constexpr std::uint16_t directory_port = 8143;
    static constexpr std::uint16_t neighbours_port = 8146;
    static constexpr std::uint16_t operators_port = 7660;
    /// Descriptor limit of the smallest instances.
    static constexpr unsigned smallest_descriptors = 4100;

    /// Starts the program with this memory limit, in megabytes, and this
    /// descriptor limit, which the kernel enforces too.
    program_process(settings::endpoint const& store,
                    unsigned memory_mb,
                    unsigned descriptors = smallest_descriptors);
    ~program_process();

    program_process(program_process const&) = delete;
    program_process& operator=(program_process const&) = delete;

    /// The loopback address that the instance listens on.
    std::string const& host() const
    {
        return host_;
    }

    /// Whether the process exists.
    bool is_running() const;

    /// The largest resident size so far, in bytes.
    std::size_t peak_resident_bytes() const;

    /// The number of open descriptors.
    std::size_t open_descriptors() const;

private:
    std::string const host_;
    std::string const settings_file_;
    pid_t pid_ = 0;
};

} // namespace kumquatloom::unit_tests

#endif
