#ifndef KUMQUATLOOM_SOAK_SOAK_RUN_HPP
#define KUMQUATLOOM_SOAK_SOAK_RUN_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <ostream>
#include <soak/fault_injector.hpp>
#include <soak/planned_fault.hpp>
#include <soak/request_ledger.hpp>
#include <soak/soak_caller.hpp>
#include <soak/soak_checks.hpp>
#include <soak/soak_instance.hpp>
#include <soak/soak_platform.hpp>
#include <soak/soak_settings.hpp>
#include <vector>

namespace kumquatloom::soak
{

/// One soak: the real program in several processes, with faults from outside.
class soak_run
{
public:
    /// Starts nothing yet.
    explicit soak_run(soak_settings settings);

    /// Plays the soak. Returns whether all promises were kept.
    bool run();

    /// Prints what was played and found.
    void print(std::ostream& out) const;

private:
    boost::asio::awaitable<void> play();
    boost::asio::awaitable<void> wait_until_ready();
    boost::asio::awaitable<void> supervise();
    boost::asio::awaitable<void> stop();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    bool all_run();
    void check_recovery();

    /// Its sizes and seed.
    soak_settings settings_;
    /// The plan.
    std::vector<planned_fault> plan_;
    /// Runs everything but the program under test.
    boost::asio::io_context context_{1};
    /// The parts.
    request_ledger ledger_;
    soak_checks checks_;
    soak_platform platform_;
    std::vector<std::unique_ptr<soak_instance>> instances_;
    fault_injector injector_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    /// Whether processes that end are started again.
    bool restarts_ = true;
};

} // namespace kumquatloom::soak

#endif
