#include <kumquatloom/admission/admission_gate.hpp>
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
    admitted.priority = admitted.route.priority;
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
    auto table = table_.read();
    auto const caller = check_caller(header, table.get());
    if (!caller)
    {
        refusals_.increment(caller.error());
        return core::failure(caller.error());
    }
    core::organisation_name name;
    if (!table->is_open())
        name = core::organisation_name(
            std::string(table->organisations().name(caller.value())));
    return core::success(
        authenticated_caller{std::move(table), std::move(name)});
}

core::result<admitted_request, refusal_reason>
admission_gate::decide(request_header_view const& header,
                       core::time_point now,
                       std::uint32_t random_bits) const
{
    admitted_request admitted;
    admitted.table = table_.read();
    auto const caller = check_caller(header, admitted.table.get());
    if (!caller)
        return core::failure(caller.error());
    admitted.organisation_number = caller.value();
    auto const host = find_field(header.fields, "Host");
    auto const route =
        admitted.table->routes().match({host.value_or(std::string_view()),
                                        path_of(header.target),
                                        random_bits},
                                       caller.value());
    if (!route)
        return core::failure(route.error());
    admitted.route = route.value();
    if (!admitted.table->is_open())
        admitted.organisation = core::organisation_name(
            std::string(admitted.table->organisations().name(caller.value())));
    admitted.service = core::service_name(std::string(admitted.route.service));
    if (!read_dialect_fields(header, now, dialect_, admitted))
        return core::failure(refusal_reason::bad_request_header);
    return core::success(std::move(admitted));
}

core::result<organisation_index, refusal_reason>
admission_gate::check_caller(request_header_view const& header,
                             admission_table const* table) const
{
    // An ambiguous header is rejected before any of its fields is used.
    if (auto const reason = header_check_.check(header))
        return core::failure(*reason);
    if (table == nullptr)
        return core::failure(refusal_reason::no_document);
    if (table->is_open())
        return organisation_index{};
    return table->organisations().authenticate(
        find_field(header.fields, "Authorization"));
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
