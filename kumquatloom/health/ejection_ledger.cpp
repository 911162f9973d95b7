#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/health/ejection_ledger.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::health
{

namespace
{

void release(ejection_slot& slot, core::log_offset offset)
{
    slot.upstream = {};
    slot.ejection = 0;
    slot.release = offset;
}

} // namespace

ejection_ledger::apply_result ejection_ledger::apply(eject_record const& record,
                                                     core::log_offset offset,
                                                     unsigned budget)
{
    auto& slots = enforce_budget(record.service, budget, offset);
    if (record.slot >= budget)
        return core::failure(ejection_rejection::slot_outside_budget);
    auto const holds_upstream = [&](ejection_slot const& slot)
    {
        return slot.upstream == record.upstream;
    };
    if (std::any_of(slots.begin(), slots.end(), holds_upstream))
        return core::failure(ejection_rejection::already_ejected);
    auto& slot = slots[record.slot];
    if (!slot.is_free())
        return core::failure(ejection_rejection::slot_taken);
    if (slot.release != record.release &&
        !core::is_mutated(core::mutation::reuse_ejection_slot_early))
        return core::failure(ejection_rejection::release_not_current);
    slot.upstream = record.upstream;
    slot.ejection = offset;
    return core::success();
}

ejection_ledger::apply_result ejection_ledger::apply(
    readmit_record const& record, core::log_offset offset, unsigned budget)
{
    auto& slots = enforce_budget(record.service, budget, offset);
    if (record.slot >= slots.size())
        return core::failure(ejection_rejection::no_such_ejection);
    auto& slot = slots[record.slot];
    if (slot.is_free() || slot.upstream != record.upstream ||
        slot.ejection != record.ejection)
        return core::failure(ejection_rejection::no_such_ejection);
    release(slot, offset);
    return core::success();
}

void ejection_ledger::change_budget(core::service_name const& service,
                                    unsigned budget,
                                    core::log_offset offset)
{
    enforce_budget(service, budget, offset);
}

std::vector<ejection_slot> const&
ejection_ledger::slots(core::service_name const& service) const
{
    static std::vector<ejection_slot> const none;
    auto const found = services_.find(service);
    return found == services_.end() ? none : found->second;
}

void ejection_ledger::restore(core::service_name const& service,
                              std::vector<ejection_slot> slots)
{
    services_[service] = std::move(slots);
}

std::vector<ejection_slot>& ejection_ledger::enforce_budget(
    core::service_name const& service, unsigned budget, core::log_offset offset)
{
    auto& slots = services_[service];
    if (slots.size() < budget)
        slots.resize(budget);
    for (std::size_t i = budget; i < slots.size(); ++i)
        if (!slots[i].is_free())
            release(slots[i], offset);
    return slots;
}

} // namespace kumquatloom::health
