#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/log_service/instance_list.hpp>

#include <boost/json/value.hpp>

#include <limits>
#include <set>
#include <utility>

namespace kumquatloom::log_service
{

namespace
{

/// Twice the design size of 7,000 entry instances and 60,000 upstreams, rounded
/// up.
constexpr std::size_t max_instances = 140000;
constexpr std::size_t max_name_size = 64;
constexpr std::size_t max_host_size = 64;

std::uint16_t read_port(core::json_reader& reader, std::string_view key)
{
    return static_cast<std::uint16_t>(
        reader.number(key, 1, std::numeric_limits<std::uint16_t>::max()));
}

/// Reads the fields that entry instances and upstreams share.
template <typename Instance>
Instance read_common(core::json_reader& reader, std::string id)
{
    Instance instance;
    instance.id = decltype(instance.id)(std::move(id));
    instance.host = reader.text("host", 1, max_host_size);
    instance.port = read_port(reader, "port");
    instance.domain =
        core::failure_domain(reader.text("failure_domain", 1, max_name_size));
    instance.region = core::region(reader.text("region", 1, max_name_size));
    instance.leaving = reader.one_of("state", {"live", "leaving"}) == "leaving";
    return instance;
}

void read_instance(core::json_reader& reader,
                   std::set<std::string>& ids,
                   instance_list& list)
{
    auto id = reader.text("id", 1, max_name_size);
    bool const is_entry =
        reader.one_of("kind", {"entry", "upstream"}) == "entry";
    // Instances of either kind may have the fields of the other kind, which are
    // ignored.
    auto const service = reader.text_or("service", "");
    auto const peer_port = reader.number_or(
        "peer_port", 0, std::numeric_limits<std::uint16_t>::max(), 0);
    if (!ids.insert((is_entry ? "entry " : "upstream ") + id).second)
        reader.report("id", '"' + id + '"', "an id that occurs once");
    if (is_entry)
    {
        if (peer_port == 0)
            reader.report("peer_port", "0", "a port");
        auto entry = read_common<listed_entry>(reader, std::move(id));
        entry.peer_port = static_cast<std::uint16_t>(peer_port);
        list.entries.push_back(std::move(entry));
        return;
    }
    if (service.empty() || service.size() > max_name_size)
        reader.report("service", '"' + service + '"', "the name of a service");
    auto upstream = read_common<listed_upstream>(reader, std::move(id));
    upstream.service = core::service_name(service);
    list.upstreams.push_back(std::move(upstream));
}

} // namespace

std::optional<instance_list> parse_instance_list(std::string_view text)
{
    core::fault_list faults;
    auto const value = core::parse_json(text, faults);
    if (!value)
        return std::nullopt;
    instance_list list;
    std::set<std::string> ids;
    core::json_reader reader(*value, "", faults);
    reader.each_element("instances",
                        [&](core::json_reader& part)
                        {
                            read_instance(part, ids, list);
                        });
    reader.finish();
    if (!faults.empty() ||
        list.entries.size() + list.upstreams.size() > max_instances)
        return std::nullopt;
    return list;
}

} // namespace kumquatloom::log_service
