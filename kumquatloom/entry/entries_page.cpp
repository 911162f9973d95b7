#include <kumquatloom/entry/entries_page.hpp>
#include <kumquatloom/entry/instance_state.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Tickets that an answer about entries contains, and one about tickets.
constexpr std::size_t tickets_with_entries = 4;
constexpr std::size_t tickets_on_request = 32;

boost::json::array issue_tickets(instance_state& state,
                                 core::organisation_name const& organisation,
                                 std::size_t count)
{
    boost::json::array tickets;
    for (std::size_t index = 0; index < count; ++index)
        tickets.push_back(boost::json::string(
            to_text(state.ticket_issuer.issue(organisation))));
    return tickets;
}

boost::json::object entry_part(std::string const& id,
                               settings::endpoint const& address,
                               core::failure_domain const& domain,
                               core::region const& region)
{
    return {{"instance", id},
            {"address", settings::to_string(address)},
            {"failure_domain", domain.value()},
            {"region", region.value()}};
}

/// The instance itself, unless it is leaving, and the live ones of the list.
boost::json::array entries_part(instance_state const& state)
{
    boost::json::array entries;
    auto const& self = state.settings.instance;
    if (!state.leaving.load(std::memory_order_relaxed))
        entries.push_back(entry_part(self.id.value(),
                                     state.callers_address(),
                                     self.failure_domain,
                                     self.region));
    auto const list = state.instances.read();
    if (!list)
        return entries;
    for (auto const& entry : list->entries)
        if (!entry.leaving && entry.id != self.id.value())
            entries.push_back(entry_part(entry.id,
                                         {entry.host, entry.port},
                                         entry.failure_domain,
                                         entry.region));
    return entries;
}

} // namespace

std::string entries_page(instance_state& state,
                         core::organisation_name const& organisation)
{
    auto const document = state.document.read();
    boost::json::object page;
    page["version"] = document ? document->version : 0;
    page["ttl_ms"] = state.settings.callers.entries_ttl.count();
    page["entries"] = entries_part(state);
    page["tickets"] = issue_tickets(state, organisation, tickets_with_entries);
    return boost::json::serialize(page) + '\n';
}

std::string tickets_page(instance_state& state,
                         core::organisation_name const& organisation)
{
    boost::json::object page;
    page["tickets"] = issue_tickets(state, organisation, tickets_on_request);
    return boost::json::serialize(page) + '\n';
}

} // namespace kumquatloom::entry
