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

/// Does to the parts of a soak what its plan says.
class fault_injector
{
public:
    /// Everything must outlive the injector.
    fault_injector(boost::asio::io_context& context,
                   soak_platform& platform,
                   std::vector<std::unique_ptr<soak_instance>>& instances);

    /// Plays one fault and undoes it.
    boost::asio::awaitable<void> play(planned_fault fault);

private:
    boost::asio::awaitable<void> signal_instances(planned_fault fault,
                                                  random_source& random);
    boost::asio::awaitable<void> pause_instance(planned_fault fault,
                                                random_source& random);
    boost::asio::awaitable<void>
    harm_link(loopback_proxy& link, planned_fault fault, random_source& random);
    boost::asio::awaitable<void> harm_store(stand_ins::store_behaviour next,
                                            planned_fault fault);
    boost::asio::awaitable<void> harm_upstreams(planned_fault fault,
                                                random_source& random);
    boost::asio::awaitable<void> change_routes(planned_fault fault,
                                               random_source& random);
    loopback_proxy& pick_link(fault_kind kind, random_source& random);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    /// Runs everything.
    boost::asio::io_context& context_;
    /// What is harmed.
    soak_platform& platform_;
    std::vector<std::unique_ptr<soak_instance>>& instances_;
};

} // namespace kumquatloom::soak

#endif
