#include <kumquatloom/core/fault.hpp>

#include <ostream>

namespace kumquatloom::core
{

std::ostream& operator<<(std::ostream& out, fault const& item)
{
    return out << (item.pointer.empty() ? "/" : item.pointer) << ": "
               << item.value << " is not allowed; allowed: " << item.allowed;
}

} // namespace kumquatloom::core
