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

/// One soak: runs the program under test in several processes and injects
/// faults from outside.
class soak_run
{
public:
    /// Plans the faults and creates the parts; starts no process.
    explicit soak_run(soak_settings settings);

    /// Runs the soak. Returns whether there were no violations.
    bool run();

    /// Prints a summary, and with violations also the faults.
    void print(std::ostream& out) const;

private:
    boost::asio::awaitable<void> run_plan();
    boost::asio::awaitable<void> wait_until_ready();
    boost::asio::awaitable<void> supervise();
    boost::asio::awaitable<void> stop();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    bool any_running();
    void check_recovery();

    /// Settings of the soak.
    soak_settings settings_;
    /// The faults to inject.
    std::vector<planned_fault> plan_;
    /// Runs everything except the program under test.
    boost::asio::io_context context_{1};
    /// Parts of the soak.
    request_ledger ledger_;
    soak_checks checks_;
    soak_platform platform_;
    std::vector<std::unique_ptr<soak_instance>> instances_;
    fault_injector injector_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    /// Whether exited processes are restarted.
    bool restarts_ = true;
};

} // namespace kumquatloom::soak

#endif
