#ifndef KUMQUATLOOM_SOAK_SOAK_INSTANCE_HPP
#define KUMQUATLOOM_SOAK_SOAK_INSTANCE_HPP

#include <kumquatloom/core/clock.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <set>
#include <soak/instance_process.hpp>
#include <soak/loopback_proxy.hpp>
#include <soak/soak_settings.hpp>
#include <string>
#include <utility>

namespace kumquatloom::soak
{

/// An instance with its links.
class soak_instance
{
public:
    /// Writes the settings file of the instance with this number.
    soak_instance(boost::asio::io_context& context,
                  soak_settings const& settings,
                  std::size_t number,
                  settings::endpoint const& store);

    /// Starts the process.
    void start();

    /// Its IP number.
    std::string const& host() const
    {
        return host_;
    }

    /// Where it answers where to connect.
    settings::endpoint directory() const;

    /// The process.
    instance_process& process()
    {
        return process_;
    }

    /// The links to its callers and to the store.
    loopback_proxy& callers()
    {
        return callers_;
    }
    loopback_proxy& store()
    {
        return store_;
    }

    /// Whether the process has run and its links have worked since `from`.
    bool calm_since(core::time_point from);

    /// The same, but for planned stops and starts.
    bool undisturbed_since(core::time_point from);

    /// Notes that this process has served a route.
    void served(std::string const& prefix)
    {
        served_.insert({process_.starts(), prefix});
    }

    /// Whether this process has served a route before.
    bool has_served(std::string const& prefix) const
    {
        return served_.contains({process_.starts(), prefix});
    }

private:
    /// Its IP number.
    std::string host_;
    /// The links.
    loopback_proxy callers_;
    loopback_proxy store_;
    /// The process.
    instance_process process_;
    /// Routes that were served, by process start.
    std::set<std::pair<std::size_t, std::string>> served_;
};

/// Failure domain of the instance or upstream with this number.
std::string domain_of(std::size_t number);

/// IP number in the network of a soak.
std::string
host_in(soak_settings const& settings, unsigned group, std::size_t number);

} // namespace kumquatloom::soak

#endif
