#ifndef KUMQUATLOOM_ENTRY_INSTANCE_STATE_HPP
#define KUMQUATLOOM_ENTRY_INSTANCE_STATE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/rcu_cell.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/entry/answer_reason.hpp>
#include <kumquatloom/entry/entry_event.hpp>
#include <kumquatloom/entry/instance_list.hpp>
#include <kumquatloom/entry/latency_histogram.hpp>
#include <kumquatloom/entry/memory_account.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace kumquatloom::entry
{

/// What all threads of the instance share: immutable views behind RCU,
/// counters and atomics. No member needs a lock.
struct instance_state
{
    /// Starts with the settings and without a document or a list.
    explicit instance_state(settings::instance_settings given)
        : settings(std::move(given))
        , buffered_answers(settings.memory.buffered_answers_bytes)
    {
    }

    /// The callers' address in use.
    settings::endpoint callers_address() const
    {
        return {settings.listen.callers.host, callers_port};
    }

    /// The operators' address in use.
    settings::endpoint operators_address() const
    {
        return {settings.listen.operators.host, operators_port};
    }

    /// The settings of the instance.
    settings::instance_settings const settings;
    /// When the instance started.
    core::time_point const started = core::clock::now();
    /// The document in force.
    core::rcu_cell<document::document> document;
    /// The last reading of the platform's list.
    core::rcu_cell<instance_list> instances;
    /// Answers of the system itself by reason.
    core::counter_family<answer_reason> reasons;
    /// Everything else that is counted.
    core::counter_family<entry_event> events;
    /// Bytes of buffered answers.
    memory_account buffered_answers;
    /// From the end of reading a request to the end of writing its answer.
    latency_histogram request_latency;
    /// From the start of an attempt to its result.
    latency_histogram attempt_latency;
    /// Latency of a completed request without that of its attempts.
    latency_histogram added_latency;
    /// Callers' connections that are open.
    std::atomic<std::size_t> caller_connections{0};
    /// Requests that were received and not yet answered.
    std::atomic<std::size_t> requests_in_flight{0};
    /// Whether the instance is leaving.
    std::atomic<bool> leaving{false};
    /// The callers' port in use.
    std::atomic<std::uint16_t> callers_port{0};
    /// The operators' port in use.
    std::atomic<std::uint16_t> operators_port{0};
};

} // namespace kumquatloom::entry

#endif
