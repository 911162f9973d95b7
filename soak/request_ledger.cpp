#include <algorithm>
#include <array>
#include <soak/request_ledger.hpp>
#include <utility>

namespace kumquatloom::soak
{

namespace
{

/// How much more time than its caller waits an upstream may be told: the
/// platform's tolerance.
constexpr std::chrono::milliseconds deadline_tolerance{500};
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
/// Statuses that promise that the request has not run and never will.
constexpr std::array<unsigned, 4> refusals{408, 421, 429, 503};

bool is_refusal(unsigned status)
{
    return std::find(refusals.begin(), refusals.end(), status) !=
           refusals.end();
}

} // namespace

void request_ledger::sent(std::string const& id, sent_request request)
{
    auto& known = requests_[id];
    known.request = std::move(request);
    known.request.sent_at = core::clock::now();
}

sent_request const* request_ledger::arrived(std::string const& id,
                                            received_request const& request,
                                            std::string const& upstream)
{
    auto const found = requests_.find(id);
    if (found == requests_.end())
    {
        report("UNASKED",
               "request " + id + " of nobody at " + upstream + ": " +
                   request.method + " " + request.target);
        return nullptr;
    }
    auto& known = found->second;
    ++known.arrivals;
    auto const& original = known.request;
    if (request.method != original.method ||
        request.target != original.target || request.body != original.body)
        report("UNASKED", "request " + id + " was changed before " + upstream);
    if (!request.deadline ||
        *request.deadline > original.deadline + deadline_tolerance)
        report("BUDGET", "request " + id + " has too much time at " + upstream);
    return &original;
}

void request_ledger::ran(std::string const& id, std::string const& upstream)
{
    auto& known = requests_.at(id);
    ++known.runs;
    if (known.runs == 1)
        known.first_run_at = upstream;
    else if (!known.request.may_repeat)
        report("TWICE",
               "request " + id + " at " + known.first_run_at + " and " +
                   upstream);
    // An answer may be early only if nothing runs after it.
    if (is_refusal(known.status) && !known.request.may_repeat)
        report("REFUSED",
               "request " + id + " ran at " + upstream + " after status " +
                   std::to_string(known.status));
}

void request_ledger::made(std::string const& id, known_answer answer)
{
    requests_.at(id).made.push_back(std::move(answer));
}

void request_ledger::answered(std::string const& id, known_answer const& answer)
{
    auto& known = requests_.at(id);
    known.status = answer.status;
    ++statuses_[answer.status];
    check_answer(id, known, answer);
}

void request_ledger::left(std::string const& id)
{
    ++statuses_[0];
    requests_.at(id).left_at = core::clock::now();
}

sent_request const* request_ledger::find(std::string const& id) const
{
    auto const found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second.request;
}

std::optional<core::time_point>
request_ledger::left_at(std::string const& id) const
{
    auto const found = requests_.find(id);
    return found == requests_.end() ? std::nullopt : found->second.left_at;
}

bool request_ledger::has_arrived(std::string const& id) const
{
    auto const found = requests_.find(id);
    return found != requests_.end() && found->second.arrivals != 0;
}

void request_ledger::finish()
{
    for (auto const& [id, known] : requests_)
        if (is_refusal(known.status) && known.runs != 0 &&
            !known.request.may_repeat)
            report("REFUSED",
                   "request " + id + " ran at " + known.first_run_at +
                       " and got status " + std::to_string(known.status));
}

void request_ledger::report(std::string promise, std::string detail)
{
    violations_.push_back(
        {std::move(promise), std::move(detail), core::clock::now()});
}

void request_ledger::check_answer(std::string const& id,
                                  history const& known,
                                  known_answer const& answer)
{
    auto const made =
        std::find_if(known.made.begin(),
                     known.made.end(),
                     [&](known_answer const& item)
                     {
                         return item.signature == answer.signature;
                     });
    bool const is_success =
        answer.status >= first_success && answer.status < first_redirect;
    if (made == known.made.end())
    {
        if (is_success || !answer.signature.empty())
            report("MIXED",
                   "request " + id + " got status " +
                       std::to_string(answer.status) +
                       " with a signature of no upstream");
        return;
    }
    if (made->status != answer.status || made->body != answer.body)
        report("MIXED",
               "request " + id + " got status " +
                   std::to_string(answer.status) + " and " +
                   std::to_string(answer.body.size()) + " bytes for " +
                   std::to_string(made->status) + " and " +
                   std::to_string(made->body.size()));
}

} // namespace kumquatloom::soak
