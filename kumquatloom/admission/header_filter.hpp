#ifndef KUMQUATLOOM_ADMISSION_HEADER_FILTER_HPP
#define KUMQUATLOOM_ADMISSION_HEADER_FILTER_HPP

#include <kumquatloom/document/document.hpp>
#include <kumquatloom/request/header_field.hpp>
#include <kumquatloom/request/wire_dialect.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace kumquatloom::admission
{

/// Names of the reserved request headers that callers may send.
std::span<std::string_view const> permitted_reserved_names();

/// The names that Connection fields list. Fields of these names are hop-by-hop.
std::vector<std::string_view>
connection_options(std::span<request::header_field const> fields);

/// Whether a request without the field could have another meaning or sender, so
/// that a Connection field must not list it.
bool is_essential_field(std::string_view name);

/// Whether a field name is reserved for Kumquatloom. Upstreams that turn header
/// fields into environment variables do not distinguish `-`, `_` and `.`, so
/// the prefix may be followed by any separator.
bool is_reserved_name(std::string_view name);

/// The request fields to forward: not hop-by-hop or reserved ones, those that
/// the instance writes in this dialect, the caller's credential, or a claimed
/// organisation. The views refer to the same data as the input.
std::vector<request::header_field> fields_for_upstream(
    std::span<request::header_field const> fields,
    request::wire_dialect const& dialect = request::default_dialect,
    document::access_rule access = document::access_rule::by_credential);

/// The request fields to forward to the instance that owns a ticket: without
/// hop-by-hop fields, but with the credential and the reserved request headers
/// that callers may send.
std::vector<request::header_field>
fields_for_owner(std::span<request::header_field const> fields);

/// The response fields to forward to the caller: without hop-by-hop and
/// reserved fields.
std::vector<request::header_field>
fields_for_caller(std::span<request::header_field const> fields);

} // namespace kumquatloom::admission

#endif
