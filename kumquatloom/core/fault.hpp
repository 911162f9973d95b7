#ifndef KUMQUATLOOM_CORE_FAULT_HPP
#define KUMQUATLOOM_CORE_FAULT_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace kumquatloom::core
{

/// One validation error in a settings file or a document.
struct fault
{
    /// JSON pointer to the faulty value, empty for the whole text.
    std::string pointer;
    /// The value that was found, as JSON text.
    std::string value;
    /// Description of the values that are allowed there.
    std::string allowed;

    friend bool operator==(fault const&, fault const&) = default;
};

/// All faults of one text, in the order in which they were found.
using fault_list = std::vector<fault>;

/// Writes one fault on one line.
std::ostream& operator<<(std::ostream& out, fault const& item);

} // namespace kumquatloom::core

#endif
