#ifndef KUMQUATLOOM_ADMISSION_CREDENTIAL_HPP
#define KUMQUATLOOM_ADMISSION_CREDENTIAL_HPP

#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/request/header_field.hpp>
#include <kumquatloom/request/wire_dialect.hpp>

#include <span>
#include <string_view>

namespace kumquatloom::admission
{

/// Name of the header field that carries a caller's credential.
std::string_view credential_field(request::wire_dialect const& dialect);

/// Whether a text can be the secret of a credential: it isn't empty, and its
/// size bounds the cost of hashing it.
bool is_usable_secret(std::string_view secret);

/// Digest of the secret that a request presents: the whole value of the
/// dialect's credential field, or the token of a bearer credential. The secret
/// itself is not kept.
core::result<core::sha256_digest, refusal_reason>
presented_credential(std::span<request::header_field const> fields,
                     request::wire_dialect const& dialect);

} // namespace kumquatloom::admission

#endif
