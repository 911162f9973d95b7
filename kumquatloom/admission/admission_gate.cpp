#include <kumquatloom/admission/admission_gate.hpp>
#include <kumquatloom/admission/credential.hpp>
#include <kumquatloom/admission/target_check.hpp>

#include <string>
#include <utility>

namespace kumquatloom::admission
{

namespace
{

using request::find_field;

/// Value of a header field that the dialect names; nothing if the dialect does
/// not use such a field or the request lacks it.
std::optional<std::string_view> dialect_field(request_header_view const& header,
                                              std::string_view name)
{
    return name.empty() ? std::nullopt : find_field(header.fields, name);
}

/// Reads the dialect's request headers into `admitted`; false if one is
/// malformed or a required request id is missing.
bool read_dialect_fields(request_header_view const& header,
                         core::time_point now,
                         request::wire_dialect const& dialect,
                         admitted_request& admitted)
{
    if (dialect.keeps_request_id)
    {
        // Without an id a response could not be matched to its request.
        auto const id = find_field(header.fields, dialect.request_id);
        if (!id || id->empty())
            return false;
    }
    std::optional<std::chrono::milliseconds> caller_time_limit;
    if (auto const text = dialect_field(header, dialect.deadline))
    {
        caller_time_limit = request::parse_deadline_ms(*text);
        if (!caller_time_limit)
            return false;
    }
    admitted.deadline = request::deadline::of_request(
        now, caller_time_limit, admitted.route.deadline);
    // Without a credential, the request belongs to no organisation.
    admitted.priority =
        admitted.credential
            ? admitted.table->priority(admitted.organisation_number)
                  .value_or(admitted.route.priority)
            : admitted.route.priority;
    if (auto const text = dialect_field(header, dialect.priority))
    {
        auto const priority = limits::parse_priority(*text);
        if (!priority)
            return false;
        admitted.priority = *priority;
    }
    if (auto const text = dialect_field(header, dialect.ticket))
        admitted.ticket = std::string(*text);
    admitted.idempotency =
        request::idempotency_of(header.method,
                                admitted.route.repeat,
                                dialect_field(header, dialect.idempotent));
    return true;
}

} // namespace

admission_gate::admission_gate(header_check_settings settings,
                               core::region region,
                               request::wire_dialect const& dialect)
    : header_check_(settings)
    , region_(std::move(region))
    , dialect_(dialect)
{
}

void admission_gate::publish(document::document const& source)
{
    table_.publish(boost::intrusive_ptr<admission_table const>(
        new admission_table(source, region_)));
}

core::result<admitted_request, refusal_reason>
admission_gate::admit(request_header_view const& header,
                      core::time_point now,
                      std::uint32_t random_bits)
{
    auto decision = decide(header, now, random_bits);
    if (!decision)
        refusals_.increment(decision.error());
    return decision;
}

core::result<authenticated_caller, refusal_reason>
admission_gate::authenticate_caller(request_header_view const& header)
{
    admitted_request caller;
    caller.table = table_.read();
    auto reason = check_fields(header, caller.table.get());
    if (!reason && !caller.table->is_open())
        reason = authenticate(header, caller);
    if (!reason)
        return core::success(authenticated_caller{
            std::move(caller.table), std::move(caller.organisation)});
    refusals_.increment(*reason);
    return core::failure(*reason);
}

core::result<admitted_request, refusal_reason>
admission_gate::decide(request_header_view const& header,
                       core::time_point now,
                       std::uint32_t random_bits) const
{
    admitted_request admitted;
    admitted.table = table_.read();
    if (auto const reason = check_fields(header, admitted.table.get()))
        return core::failure(*reason);
    auto const& table = *admitted.table;
    auto const host = find_field(header.fields, "Host");
    auto const group = table.routes().find_group(
        {host.value_or(std::string_view()), path_of(header.target)});
    bool const is_public = group && table.routes().is_public(*group);
    // Where routes are restricted to some organisations, a caller without a
    // credential isn't told which paths exist.
    if (!group && table.permits_every_organisation())
        return core::failure(refusal_reason::unknown_path);
    if (!table.is_open() && !is_public)
    {
        if (auto const reason = authenticate(header, admitted))
            return core::failure(*reason);
        if (!revocations_.permits_credentials(now))
            return core::failure(refusal_reason::document_unconfirmed);
    }
    if (!group)
        return core::failure(refusal_reason::unknown_path);
    auto const route = table.routes().select(
        *group, random_bits, admitted.organisation_number);
    if (!route)
        return core::failure(route.error());
    admitted.route = route.value();
    admitted.service = core::service_name(std::string(admitted.route.service));
    if (!read_dialect_fields(header, now, dialect_, admitted))
        return core::failure(refusal_reason::bad_request_header);
    return core::success(std::move(admitted));
}

std::optional<refusal_reason>
admission_gate::check_fields(request_header_view const& header,
                             admission_table const* table) const
{
    // An ambiguous header is rejected before any of its fields is used.
    if (auto const reason = header_check_.check(header))
        return reason;
    if (table == nullptr)
        return refusal_reason::no_document;
    // With two credentials, the caller would depend on which one is read.
    bool const is_ambiguous =
        !table->is_open() && !dialect_.credential.empty() &&
        request::count_fields(header.fields, dialect_.credential) > 1;
    return is_ambiguous ? std::optional(refusal_reason::bad_request_header)
                        : std::nullopt;
}

std::optional<refusal_reason>
admission_gate::authenticate(request_header_view const& header,
                             admitted_request& admitted) const
{
    auto const credential = presented_credential(header.fields, dialect_);
    if (!credential)
        return credential.error();
    auto const& organisations = admitted.table->organisations();
    auto const found = organisations.authenticate(credential.value());
    if (!found)
        return found.error();
    admitted.credential = credential.value();
    admitted.organisation_number = found.value();
    admitted.organisation =
        core::organisation_name(std::string(organisations.name(found.value())));
    return std::nullopt;
}

ticket_presence ticket_presence_of(request_header_view const& header,
                                   request::wire_dialect const& dialect)
{
    return !dialect.ticket.empty() &&
                   request::count_fields(header.fields, dialect.ticket) > 0
               ? ticket_presence::present
               : ticket_presence::absent;
}

} // namespace kumquatloom::admission
