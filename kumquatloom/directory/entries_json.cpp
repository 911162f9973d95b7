#include <kumquatloom/directory/entries_json.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace json = boost::json;

namespace kumquatloom::directory
{

std::string entries_json(entry_list const& answer,
                         core::log_offset document_version,
                         std::vector<std::string> const& tickets)
{
    json::array entries;
    for (auto const& item : answer.entries)
        entries.push_back(
            json::object{{"instance", item.instance.value()},
                         {"address", item.address},
                         {"failure_domain", item.failure_domain.value()},
                         {"region", item.region.value()}});
    json::object object;
    object["version"] = document_version;
    object["ttl_ms"] = answer.time_to_live.count();
    object["entries"] = std::move(entries);
    object["tickets"] = json::array(tickets.begin(), tickets.end());
    return json::serialize(object);
}

} // namespace kumquatloom::directory
