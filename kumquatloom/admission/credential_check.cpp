#include <kumquatloom/admission/credential_check.hpp>
#include <kumquatloom/core/mutation.hpp>

namespace kumquatloom::admission
{

bool is_credential_valid(admitted_request const& admitted,
                         admission_table const& current)
{
    if (!admitted.credential || admitted.table.get() == &current ||
        current.is_open() ||
        core::is_mutated(core::mutation::accept_removed_key))
        return true;
    auto const& organisations = current.organisations();
    auto const found = organisations.authenticate(*admitted.credential);
    return found &&
           organisations.name(found.value()) == admitted.organisation.value();
}

} // namespace kumquatloom::admission
