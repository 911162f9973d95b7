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

/// An instance's process, with relays for its callers and for the store.
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

    /// IP address of the instance.
    std::string const& host() const
    {
        return host_;
    }

    /// Address of the instance's directory.
    settings::endpoint directory() const;

    /// The process of the instance.
    instance_process& process()
    {
        return process_;
    }

    /// The relays between callers and the instance, and between the instance
    /// and the store.
    loopback_proxy& callers()
    {
        return callers_;
    }
    loopback_proxy& store()
    {
        return store_;
    }

    /// Whether the process ran and its links worked without disturbance since
    /// `from`.
    bool stable_since(core::time_point from);

    /// Whether the process was not killed or suspended, and the link to callers
    /// worked, since `from`. Planned stops and starts don't count.
    bool no_unplanned_since(core::time_point from);

    /// Records that the current process has served a route.
    void record_served(std::string const& prefix)
    {
        served_.insert({process_.starts(), prefix});
    }

    /// Whether the current process has served a route.
    bool has_served(std::string const& prefix) const
    {
        return served_.contains({process_.starts(), prefix});
    }

private:
    /// See host().
    std::string host_;
    /// See callers() and store().
    loopback_proxy callers_;
    loopback_proxy store_;
    /// See process().
    instance_process process_;
    /// Served routes, as pairs of the number of starts of the serving process
    /// and the path prefix.
    std::set<std::pair<std::size_t, std::string>> served_;
};

/// Failure domain of the instance or upstream with this number.
std::string domain_of(std::size_t number);

/// IP address in the network of a soak. `group` is the third octet; `number`
/// counts from 0 within the group.
std::string
host_in(soak_settings const& settings, unsigned group, std::size_t number);

} // namespace kumquatloom::soak

#endif
