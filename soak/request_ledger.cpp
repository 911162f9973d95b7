#include <algorithm>
#include <array>
#include <soak/request_ledger.hpp>
#include <utility>

namespace kumquatloom::soak
{

namespace
{

/// Maximum by which the deadline passed to an upstream may exceed the caller's.
/// The platform grants this tolerance.
constexpr std::chrono::milliseconds deadline_tolerance{500};
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
/// Statuses which guarantee that the request did not and will not run.
constexpr std::array<unsigned, 4> refusals{408, 421, 429, 503};

bool is_refusal(unsigned status)
{
    return std::find(refusals.begin(), refusals.end(), status) !=
           refusals.end();
}

} // namespace

void request_ledger::record_sent(std::string const& id, sent_request request)
{
    auto& record = requests_[id];
    record.request = std::move(request);
    record.request.sent_at = core::clock::now();
}

sent_request const*
request_ledger::record_arrival(std::string const& id,
                               received_request const& request,
                               std::string const& upstream)
{
    auto const found = requests_.find(id);
    if (found == requests_.end())
    {
        report("UNASKED",
               "unknown request " + id + " at " + upstream + ": " +
                   request.method + " " + request.target);
        return nullptr;
    }
    auto& record = found->second;
    ++record.arrivals;
    auto const& original = record.request;
    if (request.method != original.method ||
        request.target != original.target || request.body != original.body)
        report("UNASKED",
               "request " + id + " was modified before it reached " + upstream);
    if (!request.deadline ||
        *request.deadline > original.deadline + deadline_tolerance)
        report("BUDGET",
               "request " + id + " has no deadline or too long a one at " +
                   upstream);
    return &original;
}

void request_ledger::record_execution(std::string const& id,
                                      std::string const& upstream)
{
    auto& record = requests_.at(id);
    ++record.executions;
    if (record.executions == 1)
        record.first_executed_at = upstream;
    else if (!record.request.is_idempotent)
        report("TWICE",
               "request " + id + " was executed at " +
                   record.first_executed_at + " and at " + upstream);
    // A refusal must not be sent while the request may still be executed.
    if (is_refusal(record.status) && !record.request.is_idempotent)
        report("REFUSED",
               "request " + id + " was executed at " + upstream +
                   " after status " + std::to_string(record.status));
}

void request_ledger::record_sent_response(std::string const& id,
                                          recorded_response response)
{
    requests_.at(id).responses.push_back(std::move(response));
}

void request_ledger::record_received_response(std::string const& id,
                                              recorded_response const& response)
{
    auto& record = requests_.at(id);
    record.status = response.status;
    ++statuses_[response.status];
    check_response(id, record, response);
}

void request_ledger::record_disconnect(std::string const& id)
{
    ++statuses_[0];
    requests_.at(id).disconnected_at = core::clock::now();
}

sent_request const* request_ledger::find(std::string const& id) const
{
    auto const found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second.request;
}

std::optional<core::time_point>
request_ledger::disconnected_at(std::string const& id) const
{
    auto const found = requests_.find(id);
    return found == requests_.end() ? std::nullopt
                                    : found->second.disconnected_at;
}

bool request_ledger::has_arrived(std::string const& id) const
{
    auto const found = requests_.find(id);
    return found != requests_.end() && found->second.arrivals != 0;
}

void request_ledger::finish()
{
    for (auto const& [id, record] : requests_)
        if (is_refusal(record.status) && record.executions != 0 &&
            !record.request.is_idempotent)
            report("REFUSED",
                   "request " + id + " was executed at " +
                       record.first_executed_at + " and got status " +
                       std::to_string(record.status));
}

void request_ledger::report(std::string guarantee, std::string detail)
{
    violations_.push_back(
        {std::move(guarantee), std::move(detail), core::clock::now()});
}

void request_ledger::check_response(std::string const& id,
                                    request_record const& record,
                                    recorded_response const& response)
{
    auto const original =
        std::find_if(record.responses.begin(),
                     record.responses.end(),
                     [&](recorded_response const& item)
                     {
                         return item.signature == response.signature;
                     });
    bool const is_success =
        response.status >= first_success && response.status < first_redirect;
    if (original == record.responses.end())
    {
        if (is_success || !response.signature.empty())
            report("MIXED",
                   "request " + id + " got status " +
                       std::to_string(response.status) +
                       " with a signature that no upstream sent");
        return;
    }
    if (original->status != response.status || original->body != response.body)
        report("MIXED",
               "request " + id + " got status " +
                   std::to_string(response.status) + " and " +
                   std::to_string(response.body.size()) + " bytes instead of " +
                   std::to_string(original->status) + " and " +
                   std::to_string(original->body.size()));
}

} // namespace kumquatloom::soak
