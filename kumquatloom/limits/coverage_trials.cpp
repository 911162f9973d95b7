#include <kumquatloom/limits/coverage_trials.hpp>

#include <chrono>

namespace kumquatloom::limits
{

namespace
{

/// Time over which requests are counted. The platform judges windows of 2 s,
/// and an instance may get only a few requests of a service per second.
constexpr std::chrono::seconds window{3};
/// Share of unserved requests from which the platform requires that most
/// healthy upstreams get requests.
constexpr double max_unserved_share = 0.1;
/// Number of unserved requests below which the share may be a coincidence.
constexpr double min_unserved = 2;
/// Requests between two such trials, which bounds the loss if the share is high
/// by coincidence.
constexpr unsigned requests_per_trial = 4;

} // namespace

coverage_trials::coverage_trials()
    : requests_(window)
    , unserved_(window)
{
}

void coverage_trials::record_request(bool is_served, core::time_point now)
{
    requests_.add(1, now);
    ++since_trial_;
    if (!is_served)
        unserved_.add(1, now);
}

bool coverage_trials::is_needed(core::time_point now) const
{
    return unserved_.value(now) >= min_unserved &&
           unserved_share(now) >= max_unserved_share;
}

bool coverage_trials::permits(core::time_point now) const
{
    return since_trial_ >= requests_per_trial && is_needed(now);
}

void coverage_trials::record_trial()
{
    since_trial_ = 0;
}

double coverage_trials::unserved_share(core::time_point now) const
{
    auto const requests = requests_.value(now);
    return requests <= 0 ? 0 : unserved_.value(now) / requests;
}

} // namespace kumquatloom::limits
