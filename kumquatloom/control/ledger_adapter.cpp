#include <kumquatloom/control/ledger_adapter.hpp>
#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/eject_record.hpp>
#include <kumquatloom/document/readmit_record.hpp>
#include <kumquatloom/health/eject_record.hpp>
#include <kumquatloom/health/ejection_slot.hpp>
#include <kumquatloom/health/readmit_record.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <limits>
#include <utility>
#include <vector>

namespace kumquatloom::control
{

namespace json = boost::json;

namespace
{

constexpr std::uint64_t max_offset = std::numeric_limits<std::int64_t>::max();

json::array to_json(std::vector<health::ejection_slot> const& slots)
{
    json::array result;
    for (auto const& slot : slots)
        result.push_back({{"upstream", slot.upstream.value()},
                          {"ejection", slot.ejection},
                          {"release", slot.release}});
    return result;
}

health::ejection_slot read_slot(core::json_reader& reader)
{
    health::ejection_slot slot;
    slot.upstream = core::upstream_id(reader.text("upstream", 0));
    slot.ejection = reader.number("ejection", 0, max_offset);
    slot.release = reader.number("release", 0, max_offset);
    return slot;
}

} // namespace

bool ledger_adapter::apply(document::eject_record const& record,
                           core::log_offset offset,
                           unsigned budget)
{
    health::eject_record const converted{
        record.id,
        record.service,
        record.upstream,
        static_cast<std::uint32_t>(record.slot),
        record.released.value_or(0)};
    return ledger_.apply(converted, offset, budget).has_value();
}

bool ledger_adapter::apply(document::readmit_record const& record,
                           core::log_offset offset,
                           unsigned budget)
{
    health::readmit_record const converted{
        record.id,
        record.service,
        record.upstream,
        static_cast<std::uint32_t>(record.slot),
        record.ejection};
    return ledger_.apply(converted, offset, budget).has_value();
}

std::string ledger_adapter::serialise() const
{
    json::object services;
    for (auto const& [name, slots] : ledger_.services())
        services[name.value()] = json::object{{"slots", to_json(slots)}};
    return json::serialize(json::object{{"services", std::move(services)}});
}

bool ledger_adapter::restore(std::string_view bytes)
{
    core::fault_list faults;
    auto const value = core::parse_json(bytes, faults);
    if (!value)
        return false;
    core::json_reader reader(*value, "", faults);
    health::ejection_ledger restored;
    reader.each_member(
        "services",
        [&](std::string const& name, core::json_reader& service)
        {
            std::vector<health::ejection_slot> slots;
            service.each_element("slots",
                                 [&](core::json_reader& element)
                                 {
                                     slots.push_back(read_slot(element));
                                 });
            restored.restore(core::service_name(name), std::move(slots));
        });
    reader.finish();
    if (!faults.empty())
        return false;
    ledger_ = std::move(restored);
    return true;
}

document::eject_record to_log_record(health::eject_record const& record)
{
    document::eject_record result;
    result.id = record.id;
    result.service = record.service;
    result.upstream = record.upstream;
    result.slot = record.slot;
    if (record.release != 0)
        result.released = record.release;
    return result;
}

document::readmit_record to_log_record(health::readmit_record const& record)
{
    document::readmit_record result;
    result.id = record.id;
    result.service = record.service;
    result.upstream = record.upstream;
    result.slot = record.slot;
    result.ejection = record.ejection;
    return result;
}

} // namespace kumquatloom::control
