#ifndef KUMQUATLOOM_ADMISSION_HEADER_FILTER_HPP
#define KUMQUATLOOM_ADMISSION_HEADER_FILTER_HPP

#include <kumquatloom/request/header_field.hpp>
#include <kumquatloom/request/wire_dialect.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace kumquatloom::admission
{

/// The request headers of the system that callers may send.
std::span<std::string_view const> own_request_fields();

/// The names that Connection fields list, which hold for one hop only.
std::vector<std::string_view>
connection_options(std::span<request::header_field const> fields);

/// Whether removing the field on the way would change what a request means or
/// who sent it, so that a Connection field must not list it.
bool is_essential_field(std::string_view name);

/// Whether a name belongs to the system. Upstreams that read header fields as
/// environment variables do not tell `-`, `_` and `.` apart, so that all of
/// them count.
bool is_own_name(std::string_view name);

/// The fields to pass on to an upstream: without those for one hop, without
/// the caller's credential, which is worth as much at every instance, and
/// without any field of the system. Fields that the dialect makes this system
/// write itself are left out, too. The views stay those of the input.
std::vector<request::header_field> fields_for_upstream(
    std::span<request::header_field const> fields,
    request::wire_dialect const& dialect = request::default_dialect);

/// The fields to pass on to the owner of a ticket: as fields_for_upstream(),
/// with the credential and the request headers that callers may send.
std::vector<request::header_field>
fields_for_owner(std::span<request::header_field const> fields);

/// The fields of an upstream's answer to pass on to the caller: without those
/// for one hop and without any field of the system.
std::vector<request::header_field>
fields_for_caller(std::span<request::header_field const> fields);

} // namespace kumquatloom::admission

#endif
