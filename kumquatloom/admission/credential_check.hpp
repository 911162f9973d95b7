#ifndef KUMQUATLOOM_ADMISSION_CREDENTIAL_CHECK_HPP
#define KUMQUATLOOM_ADMISSION_CREDENTIAL_CHECK_HPP

#include <kumquatloom/admission/admission_table.hpp>
#include <kumquatloom/admission/admitted_request.hpp>

namespace kumquatloom::admission
{

/// Whether the credential of a request still belongs to the organisation for
/// which it was admitted, according to the table in force. Requests without a
/// credential, and those admitted by the same table, need no lookup.
bool is_credential_valid(admitted_request const& admitted,
                         admission_table const& current);

} // namespace kumquatloom::admission

#endif
