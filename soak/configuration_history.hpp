#ifndef KUMQUATLOOM_SOAK_CONFIGURATION_HISTORY_HPP
#define KUMQUATLOOM_SOAK_CONFIGURATION_HISTORY_HPP

#include <kumquatloom/core/clock.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquatloom::soak
{

/// Services that a configuration routes each path prefix to.
using route_targets = std::map<std::string, std::set<std::string>>;

/// All configurations that the store has acknowledged, in order.
class configuration_history
{
public:
    /// Adds a configuration that the store acknowledged at this time.
    void acknowledged(route_targets targets, core::time_point at)
    {
        versions_.push_back({std::move(targets), at});
    }

    /// Whether any configuration routed the prefix to the service.
    bool ever_allowed(std::string const& prefix,
                      std::string const& service) const
    {
        return allowed(prefix, service, core::time_point::min());
    }

    /// Whether a configuration that was in force at `from`, or was acknowledged
    /// later, routes the prefix to the service.
    bool allowed(std::string const& prefix,
                 std::string const& service,
                 core::time_point from) const
    {
        for (auto item = versions_.rbegin(); item != versions_.rend(); ++item)
        {
            auto const found = item->targets.find(prefix);
            if (found != item->targets.end() && found->second.contains(service))
                return true;
            if (item->at <= from)
                break;
        }
        return false;
    }

    /// Whether every configuration that was in force at `from`, or was
    /// acknowledged later, routes the prefix.
    bool always_routed(std::string const& prefix, core::time_point from) const
    {
        for (auto item = versions_.rbegin(); item != versions_.rend(); ++item)
        {
            if (!item->targets.contains(prefix))
                return false;
            if (item->at <= from)
                break;
        }
        return !versions_.empty();
    }

    /// The newest configuration.
    route_targets const& newest() const
    {
        return versions_.back().targets;
    }

private:
    /// An acknowledged configuration.
    struct version
    {
        /// Services by path prefix.
        route_targets targets;
        /// When the store acknowledged it.
        core::time_point at;
    };

    /// Configurations, oldest first.
    std::vector<version> versions_;
};

} // namespace kumquatloom::soak

#endif
