#include <kumquatloom/admission/admission_gate.hpp>
#include <kumquatloom/admission/target_check.hpp>
#include <kumquatloom/request/header_names.hpp>

#include <string>
#include <utility>

namespace kumquatloom::admission
{

namespace
{

using request::find_field;
namespace names = request::header_names;

/// Reads the system's own request headers; false if one is malformed.
bool read_own_fields(request_facts const& facts,
                     core::time_point now,
                     admitted_request& admitted)
{
    std::optional<std::chrono::milliseconds> limit;
    if (auto const text = find_field(facts.fields, names::deadline_ms))
    {
        limit = request::parse_deadline_ms(*text);
        if (!limit)
            return false;
    }
    admitted.until =
        request::deadline::of_request(now, limit, admitted.route.deadline);
    if (auto const text = find_field(facts.fields, names::priority))
    {
        auto const priority = limits::parse_priority(*text);
        if (!priority)
            return false;
        admitted.priority = *priority;
    }
    if (auto const text = find_field(facts.fields, names::ticket))
        admitted.ticket = std::string(*text);
    admitted.repeat =
        request::idempotency_of(facts.method,
                                admitted.route.repeat,
                                find_field(facts.fields, names::idempotent));
    return true;
}

} // namespace

admission_gate::admission_gate(header_check_settings settings,
                               core::region region)
    : header_check_(settings)
    , region_(std::move(region))
{
}

void admission_gate::publish(document::document const& source)
{
    table_.publish(boost::intrusive_ptr<admission_table const>(
        new admission_table(source, region_)));
}

core::result<admitted_request, refusal_reason>
admission_gate::admit(request_facts const& facts, core::time_point now)
{
    auto decided = decide(facts, now);
    if (!decided)
        refusals_.increment(decided.error());
    return decided;
}

core::result<identified_caller, refusal_reason>
admission_gate::identify(request_facts const& facts)
{
    auto table = table_.read();
    auto const caller = check_caller(facts, table.get());
    if (!caller)
    {
        refusals_.increment(caller.error());
        return core::failure(caller.error());
    }
    core::organisation_name name(
        std::string(table->organisations().name(caller.value())));
    return core::success(identified_caller{std::move(table), std::move(name)});
}

core::result<admitted_request, refusal_reason>
admission_gate::decide(request_facts const& facts, core::time_point now) const
{
    admitted_request admitted;
    admitted.table = table_.read();
    auto const caller = check_caller(facts, admitted.table.get());
    if (!caller)
        return core::failure(caller.error());
    admitted.organisation_number = caller.value();
    auto const route =
        admitted.table->routes().match(path_of(facts.target), caller.value());
    if (!route)
        return core::failure(route.error());
    admitted.route = route.value();
    admitted.organisation = core::organisation_name(
        std::string(admitted.table->organisations().name(caller.value())));
    admitted.service = core::service_name(std::string(admitted.route.service));
    if (!read_own_fields(facts, now, admitted))
        return core::failure(refusal_reason::bad_request_header);
    return core::success(std::move(admitted));
}

core::result<organisation_index, refusal_reason>
admission_gate::check_caller(request_facts const& facts,
                             admission_table const* table) const
{
    // The header comes first: what it says cannot be trusted otherwise.
    if (auto const reason = header_check_.check(facts))
        return core::failure(*reason);
    if (table == nullptr)
        return core::failure(refusal_reason::no_document);
    return table->organisations().authenticate(
        find_field(facts.fields, "Authorization"));
}

ticket_presence ticket_of(request_facts const& facts)
{
    return request::count_fields(facts.fields, names::ticket) > 0
               ? ticket_presence::present
               : ticket_presence::absent;
}

} // namespace kumquatloom::admission
