#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/entry/instance_list.hpp>

#include <boost/json/value.hpp>

#include <utility>

namespace kumquatloom::entry
{

namespace
{

constexpr std::uint64_t max_port = 65535;

void read_instance(core::json_reader& reader, instance_list& list)
{
    listed_instance instance;
    instance.id = reader.text("id");
    auto const kind = reader.one_of("kind", {"entry", "upstream"});
    instance.service = core::service_name(reader.text_or("service", ""));
    instance.host = reader.text("host");
    instance.port =
        static_cast<std::uint16_t>(reader.number("port", 1, max_port));
    instance.peer_port = static_cast<std::uint16_t>(
        reader.number_or("peer_port", 0, max_port, 0));
    instance.failure_domain =
        core::failure_domain(reader.text("failure_domain"));
    instance.region = core::region(reader.text("region"));
    instance.leaving =
        reader.one_of("state", {"live", "leaving"}, "live") == "leaving";
    if (kind == "entry")
        list.entries.push_back(std::move(instance));
    else
        list.upstreams[instance.service].push_back(std::move(instance));
}

} // namespace

boost::intrusive_ptr<instance_list>
parse_instance_list(std::string_view text, core::fault_list& faults)
{
    boost::intrusive_ptr<instance_list> list(new instance_list);
    auto const value = core::parse_json(text, faults);
    if (!value)
        return list;
    core::json_reader reader(*value, "", faults);
    reader.each_element("instances",
                        [&](core::json_reader& element)
                        {
                            read_instance(element, *list);
                        });
    reader.finish();
    return list;
}

} // namespace kumquatloom::entry
