#ifndef KUMQUATLOOM_CORE_NEW_INCARNATION_HPP
#define KUMQUATLOOM_CORE_NEW_INCARNATION_HPP

#include <kumquatloom/core/ids.hpp>

namespace kumquatloom::core
{

/// A number for this start of a process: the time in milliseconds shifted left
/// by 16 bits plus 16 random bits, so that it is higher than that of earlier
/// starts unless the clock was set back, and never the same.
incarnation new_incarnation();

} // namespace kumquatloom::core

#endif
