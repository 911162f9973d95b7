#include <kumquatloom/document/organisation_fault.hpp>

#include <boost/assert.hpp>

#include <array>

namespace kumquatloom::document
{

std::string_view to_string(organisation_fault fault)
{
    static constexpr std::array<std::string_view, 6> names = {
        "unreadable",
        "bad_name",
        "duplicate_name",
        "bad_credentials",
        "bad_number",
        "unusable_credential"};
    static_assert(names.size() ==
                  static_cast<std::size_t>(organisation_fault::count));
    BOOST_ASSERT(fault < organisation_fault::count);
    return names[static_cast<std::size_t>(fault)];
}

} // namespace kumquatloom::document
