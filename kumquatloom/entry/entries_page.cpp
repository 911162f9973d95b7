#include <kumquatloom/directory/entry_directory.hpp>
#include <kumquatloom/directory/entry_directory_settings.hpp>
#include <kumquatloom/directory/entry_list.hpp>
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

/// What this instance knows about itself, for an instance that is in no fleet.
membership::known_instance self_of(instance_state const& state,
                                   core::time_point now)
{
    auto const& self = state.settings.instance;
    membership::known_instance known;
    known.id = self.id;
    known.callers_address = settings::to_string(state.callers_address());
    known.failure_domain = self.failure_domain;
    known.region = self.region;
    known.last_heard = now;
    known.ready = true;
    known.fresh = true;
    known.leaving = state.leaving.load(std::memory_order_relaxed);
    return known;
}

/// The entry instances that the caller is told to use, best first.
boost::json::array entries_part(instance_state const& state,
                                core::organisation_name const& organisation,
                                core::failure_domain const& asked_domain)
{
    auto const now = core::clock::now();
    auto const& self = state.settings.instance;
    directory::entry_directory_settings settings;
    settings.time_to_live = state.settings.callers.entries_ttl;
    directory::entry_directory const chooser(
        settings, self.failure_domain, self.region);
    auto const fleet = state.fleet.read();
    auto const answer = chooser.answer(
        organisation,
        asked_domain,
        fleet ? fleet->instances
              : std::vector<membership::known_instance>{self_of(state, now)},
        now);
    boost::json::array entries;
    for (auto const& entry : answer.entries)
        entries.push_back({{"instance", entry.instance.value()},
                           {"address", entry.address},
                           {"failure_domain", entry.failure_domain.value()},
                           {"region", entry.region.value()}});
    return entries;
}

} // namespace

std::string entries_page(instance_state& state,
                         core::organisation_name const& organisation,
                         core::failure_domain const& asked_domain)
{
    auto const document = state.document.read();
    boost::json::object page;
    page["version"] = document ? document->version : 0;
    page["ttl_ms"] = state.settings.callers.entries_ttl.count();
    page["entries"] = entries_part(state, organisation, asked_domain);
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
