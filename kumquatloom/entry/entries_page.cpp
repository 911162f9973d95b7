#include <kumquatloom/directory/entries_json.hpp>
#include <kumquatloom/entry/entries_page.hpp>
#include <kumquatloom/entry/instance_state.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace kumquatloom::entry
{

namespace
{

/// Tickets that an answer about entries contains, and one about tickets.
constexpr std::size_t tickets_with_entries = 4;
constexpr std::size_t tickets_on_request = 32;

std::vector<std::string>
issue_tickets(instance_state& state,
              core::organisation_name const& organisation,
              std::size_t count)
{
    std::vector<std::string> tickets;
    for (std::size_t index = 0; index < count; ++index)
        tickets.push_back(to_text(state.ticket_issuer.issue(organisation)));
    return tickets;
}

membership::known_instance self_of(instance_state const& state,
                                   core::time_point now)
{
    auto const& identity = state.settings.instance;
    membership::known_instance self;
    self.id = identity.id;
    self.callers_address = settings::to_string(state.callers_address());
    self.failure_domain = identity.failure_domain;
    self.region = identity.region;
    self.last_heard = now;
    self.ready = true;
    self.fresh = true;
    self.leaving = state.leaving.load(std::memory_order_relaxed);
    return self;
}

/// All instances of the fleet that are known.
std::vector<membership::known_instance> known_fleet(instance_state const& state,
                                                    core::time_point now)
{
    if (auto const known = state.fleet.read())
        return known->instances;
    std::vector<membership::known_instance> fleet;
    auto const others = state.others.read();
    if (others)
        fleet = others->instances;
    if (others && others->listed_only)
        for (auto& instance : fleet)
            instance.last_heard = now;
    fleet.push_back(self_of(state, now));
    return fleet;
}

/// The failure domain that the query of a target names; empty if none.
core::failure_domain asked_domain(std::string_view target)
{
    constexpr std::string_view key = "failure_domain=";
    auto const question = target.find('?');
    auto query = question == target.npos ? std::string_view()
                                         : target.substr(question + 1);
    while (!query.empty())
    {
        auto const part = query.substr(0, query.find('&'));
        if (part.starts_with(key))
            return core::failure_domain(std::string(part.substr(key.size())));
        query.remove_prefix(std::min(part.size() + 1, query.size()));
    }
    return {};
}

} // namespace

std::string entries_page(instance_state& state,
                         core::organisation_name const& organisation,
                         std::string_view target,
                         core::time_point now)
{
    auto const answer = state.directory.answer(
        organisation, asked_domain(target), known_fleet(state, now), now);
    auto const document = state.document.read();
    return directory::entries_json(
               answer,
               document ? document->version : 0,
               issue_tickets(state, organisation, tickets_with_entries)) +
           '\n';
}

std::string tickets_page(instance_state& state,
                         core::organisation_name const& organisation)
{
    auto const tickets = issue_tickets(state, organisation, tickets_on_request);
    boost::json::object page;
    page["tickets"] = boost::json::array(tickets.begin(), tickets.end());
    return boost::json::serialize(page) + '\n';
}

} // namespace kumquatloom::entry
