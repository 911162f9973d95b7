#ifndef KUMQUATLOOM_CORE_NEW_INCARNATION_HPP
#define KUMQUATLOOM_CORE_NEW_INCARNATION_HPP

#include <kumquatloom/core/ids.hpp>

namespace kumquatloom::core
{

/// Creates the number of this process start: the time in milliseconds, shifted
/// left by 16 bits, plus 16 random bits. It is higher than that of earlier
/// starts unless the clock was set back; the random bits make equal numbers
/// unlikely.
incarnation new_incarnation();

} // namespace kumquatloom::core

#endif
