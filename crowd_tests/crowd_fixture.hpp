#ifndef KUMQUATLOOM_CROWD_TESTS_CROWD_FIXTURE_HPP
#define KUMQUATLOOM_CROWD_TESTS_CROWD_FIXTURE_HPP

#include <atomic>
#include <crowd_tests/crowd.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unit_tests/platform/platform_fixture.hpp>
#include <unit_tests/platform/program_process.hpp>

namespace kumquatloom::crowd_tests
{

/// The program in a process of its own with the limits of the smallest machine,
/// an upstream of the routes /read/ and /order/, one of /other/, and a crowd.
class crowd_fixture
{
public:
    /// Limits of the smallest machine.
    static constexpr unsigned memory_mb = 160;
    static constexpr std::size_t memory_bytes = memory_mb * 1024UL * 1024;
    static constexpr unsigned descriptors = 4100;
    /// Limits of a body: lowered, and the one that deployments configure.
    static constexpr std::size_t lowered_body_bytes = 8UL * 1024 * 1024;
    static constexpr std::size_t usual_body_bytes = 64UL * 1024 * 1024;

    /// Starts the program with this limit of a body.
    explicit crowd_fixture(std::size_t max_body_bytes = lowered_body_bytes);
    ~crowd_fixture();

    unit_tests::platform_fixture platform;
    std::optional<unit_tests::program_process> program;
    std::optional<crowd> callers;

    /// The upstream that the crowd's requests are for.
    unit_tests::raw_upstream& crowd_upstream()
    {
        return *crowd_upstream_;
    }

    /// Waits until the crowd's upstream has had no further request for a
    /// second.
    void wait_until_served();

    /// Sends a request of an ordinary caller; after a 503 or a connection that
    /// is closed without a response it is sent once more, after the delay that
    /// the response states. Returns the last status; 0 if there is none.
    unsigned ordinary_status(std::string_view target = "/other/1");

    /// Checks that the process runs and has stayed within its memory and its
    /// descriptors.
    void check_machine();

private:
    void sample();

    unit_tests::raw_upstream* crowd_upstream_ = nullptr;
    /// The most descriptors seen open at a time.
    std::atomic<std::size_t> peak_descriptors_{0};
    std::atomic<bool> ending_{false};
    std::thread sampler_;
};

} // namespace kumquatloom::crowd_tests

#endif
