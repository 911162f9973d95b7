#ifndef KUMQUATLOOM_HOSTING_ANNOUNCED_INSTANCE_HPP
#define KUMQUATLOOM_HOSTING_ANNOUNCED_INSTANCE_HPP

#include <kumquatloom/core/ids.hpp>

#include <string>

namespace kumquatloom::hosting
{

/// An entry in the store's list of instances. Entries are not removed when an
/// instance stops.
struct announced_instance
{
    /// Failure domain of the instance.
    core::failure_domain domain;
    /// IP address of the instance.
    std::string host;
};

} // namespace kumquatloom::hosting

#endif
