#ifndef KUMQUATLOOM_SOAK_FAULT_INJECTOR_HPP
#define KUMQUATLOOM_SOAK_FAULT_INJECTOR_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <soak/loopback_proxy.hpp>
#include <soak/planned_fault.hpp>
#include <soak/random_source.hpp>
#include <stand_ins/platform_store_stand_in.hpp>
#include <vector>

namespace kumquatloom::soak
{

class soak_instance;
class soak_platform;

/// Injects the planned faults into the parts of a soak.
class fault_injector
{
public:
    /// All arguments must outlive the injector.
    fault_injector(boost::asio::io_context& context,
                   soak_platform& platform,
                   std::vector<std::unique_ptr<soak_instance>>& instances);

    /// Injects one fault and removes it after its duration.
    boost::asio::awaitable<void> inject(planned_fault fault);

private:
    boost::asio::awaitable<void> signal_instances(planned_fault fault,
                                                  random_source& random);
    boost::asio::awaitable<void> pause_instance(planned_fault fault,
                                                random_source& random);
    boost::asio::awaitable<void> inject_link_fault(loopback_proxy& link,
                                                   planned_fault fault,
                                                   random_source& random);
    boost::asio::awaitable<void>
    inject_store_fault(stand_ins::store_behaviour next, planned_fault fault);
    boost::asio::awaitable<void> inject_upstream_fault(planned_fault fault,
                                                       random_source& random);
    boost::asio::awaitable<void> change_routes(planned_fault fault,
                                               random_source& random);
    loopback_proxy& pick_link(fault_kind kind, random_source& random);
    boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds time);

    /// Runs the coroutines.
    boost::asio::io_context& context_;
    /// Targets of the faults.
    soak_platform& platform_;
    std::vector<std::unique_ptr<soak_instance>>& instances_;
};

} // namespace kumquatloom::soak

#endif
