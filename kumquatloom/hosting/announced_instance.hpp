#ifndef KUMQUATLOOM_HOSTING_ANNOUNCED_INSTANCE_HPP
#define KUMQUATLOOM_HOSTING_ANNOUNCED_INSTANCE_HPP

#include <kumquatloom/core/ids.hpp>

#include <string>

namespace kumquatloom::hosting
{

/// An instance that has announced itself, alive or not.
struct announced_instance
{
    /// Where it runs.
    core::failure_domain domain;
    /// Its IP number.
    std::string host;
};

} // namespace kumquatloom::hosting

#endif
