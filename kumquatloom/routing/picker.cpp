#include <kumquatloom/routing/picker.hpp>

#include <boost/assert.hpp>
#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace kumquatloom::routing
{

namespace
{

/// Number of candidates that fit on the stack; most services have fewer
/// upstreams.
constexpr std::size_t usual_candidates = 64;
/// Maximum number of draws of a candidate. Each draw but the last one is
/// accepted with a probability equal to the candidate's weight; the last one is
/// always accepted.
constexpr int max_draws = 4;
/// Known slot utilisation in percent at which an upstream in another failure
/// domain of the region, or in another region, receives no more requests. Load
/// reports from there take 0.15 s and 0.5 s, and within that time a third or
/// more of the requests end and others begin.
constexpr unsigned own_region_utilisation_percent = 84;
constexpr unsigned other_region_utilisation_percent = 60;
/// Number of random candidates of which the one with the least recent success
/// is chosen.
constexpr std::size_t oldest_draws = 2;
/// Longest time since the last success of an upstream that can take over the
/// request of a failed trial.
constexpr core::duration max_success_age = std::chrono::milliseconds(500);
/// Latency in seconds that is assumed if no candidate has a sample. Its value
/// has no effect, because only ratios matter.
constexpr double default_latency_seconds = 0.01;

using candidate_list =
    boost::container::small_vector<boost::intrusive_ptr<upstream> const*,
                                   usual_candidates>;

/// Generates a sequence of random numbers from the random bits of a request
/// (SplitMix64).
class random_sequence
{
public:
    explicit random_sequence(std::uint64_t seed)
        : state_(seed)
    {
    }

    /// Returns a number below `bound`.
    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(next() % bound);
    }

    /// Returns a number in [0, 1).
    double fraction()
    {
        return static_cast<double>(next() >> 11U) * 0x1.0p-53;
    }

private:
    std::uint64_t next()
    {
        state_ += 0x9E3779B97F4A7C15U;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
        return mixed ^ (mixed >> 31U);
    }

    std::uint64_t state_;
};

/// Returns the index of a random candidate; one with a lower weight is chosen
/// less often.
std::size_t draw_weighted(candidate_list const& candidates,
                          random_sequence& random,
                          core::time_point now)
{
    std::size_t index = random.below(candidates.size());
    for (int i = 1; i < max_draws; ++i)
    {
        if (random.fraction() < (*candidates[index])->weight(now))
            break;
        index = random.below(candidates.size());
    }
    return index;
}

/// Returns the cost of a candidate under the policy.
double
cost_of(upstream const& candidate, double fallback, balancing_policy policy)
{
    return policy == balancing_policy::load ? candidate.in_flight() + 1.0
                                            : candidate.cost(fallback);
}

/// Returns the candidate with the lowest slot utilisation, a random one if
/// several are equal.
boost::intrusive_ptr<upstream> const&
least_used_of_all(candidate_list const& candidates,
                  random_sequence& random,
                  core::time_point now)
{
    std::size_t best = 0;
    double lowest_utilisation = 0;
    std::size_t ties = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        double const utilisation = (*candidates[i])->utilisation(now);
        if (i == 0 || utilisation < lowest_utilisation)
        {
            best = i;
            lowest_utilisation = utilisation;
            ties = 1;
        }
        else if (utilisation == lowest_utilisation && random.below(++ties) == 0)
            best = i;
    }
    return *candidates[best];
}

/// Returns the cheaper of two random candidates.
boost::intrusive_ptr<upstream> const&
cheaper_of_two(candidate_list const& candidates,
               random_sequence& random,
               balancing_policy policy,
               core::time_point now)
{
    auto const& first = *candidates[draw_weighted(candidates, random, now)];
    auto const& second = *candidates[draw_weighted(candidates, random, now)];
    // A candidate without a sample is assumed to have the latency of the other
    // one.
    double const known_latency =
        std::max(first->latency_seconds(), second->latency_seconds());
    double const fallback =
        known_latency > 0 ? known_latency : default_latency_seconds;
    return cost_of(*first, fallback, policy) <=
                   cost_of(*second, fallback, policy)
               ? first
               : second;
}

/// Returns the one of two random candidates that has the lower slot
/// utilisation.
boost::intrusive_ptr<upstream> const&
less_used_of_two(candidate_list const& candidates,
                 random_sequence& random,
                 core::time_point now)
{
    auto const count = candidates.size();
    auto const index = random.below(count);
    auto const& first = *candidates[index];
    if (count == 1)
        return first;
    auto const& second =
        *candidates[(index + 1 + random.below(count - 1)) % count];
    return first->utilisation(now) <= second->utilisation(now) ? first : second;
}

/// Returns a random candidate, with a probability proportional to its free
/// slots.
boost::intrusive_ptr<upstream> const&
draw_by_free_slots(candidate_list const& candidates,
                   random_sequence& random,
                   core::time_point now)
{
    double total = 0;
    for (auto const* const candidate : candidates)
        total += (*candidate)->free_slots(now);
    double remaining = random.fraction() * total;
    for (auto const* const candidate : candidates)
    {
        remaining -= (*candidate)->free_slots(now);
        if (remaining < 0)
            return *candidate;
    }
    return *candidates.back();
}

/// Returns the candidate with the most recent success, the less used of equal
/// ones. Own results are the most recent, so that each instance prefers a few
/// upstreams of its own and finds out first when one of these fails.
boost::intrusive_ptr<upstream> const&
most_recent_of_all(candidate_list const& candidates,
                   random_sequence& random,
                   core::time_point now)
{
    auto const offset = random.below(candidates.size());
    auto const* best = candidates[offset];
    auto best_time = (*best)->last_success(now);
    for (std::size_t i = 1; i < candidates.size(); ++i)
    {
        auto const* const other = candidates[(offset + i) % candidates.size()];
        auto const time = (*other)->last_success(now);
        if (time < best_time ||
            (time == best_time &&
             (*other)->utilisation(now) >= (*best)->utilisation(now)))
            continue;
        best = other;
        best_time = time;
    }
    return *best;
}

/// Returns the one of a few random candidates with the least recent success.
boost::intrusive_ptr<upstream> const&
oldest_of_draws(candidate_list const& candidates,
                random_sequence& random,
                core::time_point now)
{
    auto const* best = candidates[random.below(candidates.size())];
    for (std::size_t i = 1; i < oldest_draws; ++i)
    {
        auto const* const other = candidates[random.below(candidates.size())];
        if ((*other)->last_success(now) < (*best)->last_success(now))
            best = other;
    }
    return *best;
}

/// Returns the candidate that the policy prefers.
boost::intrusive_ptr<upstream> const&
choose_by_policy(candidate_list const& candidates,
                 random_sequence& random,
                 balancing_policy policy,
                 core::time_point now)
{
    switch (policy)
    {
    case balancing_policy::least_used:
        return less_used_of_two(candidates, random, now);
    case balancing_policy::least_used_of_all:
        return least_used_of_all(candidates, random, now);
    case balancing_policy::free_slots:
        return draw_by_free_slots(candidates, random, now);
    case balancing_policy::load:
    case balancing_policy::load_and_latency:
        break;
    }
    return cheaper_of_two(candidates, random, policy, now);
}

/// Returns the candidate that the request or else the policy prefers.
boost::intrusive_ptr<upstream> const&
choose_candidate(candidate_list const& candidates,
                 pick_request const& request,
                 random_sequence& random,
                 balancing_policy policy,
                 core::time_point now)
{
    switch (request.preference)
    {
    case success_preference::recent:
        return most_recent_of_all(candidates, random, now);
    case success_preference::oldest:
        return oldest_of_draws(candidates, random, now);
    case success_preference::none:
        break;
    }
    return choose_by_policy(candidates, random, policy, now);
}

/// Whether the known utilisation of an upstream in another failure domain or
/// region is too high to send it requests. The attempts of other instances are
/// known late, and many instances would choose the same upstream at once.
bool exceeds_remote_utilisation(upstream const& candidate, pick_tier distance)
{
    auto const slots = candidate.endpoint().slots;
    auto const others_in_flight =
        candidate.known_in_flight() - candidate.in_flight();
    // Without reports of other instances there is no delayed information to
    // allow for.
    if (others_in_flight == 0 || distance == pick_tier::own_domain)
        return false;
    auto const percent = distance == pick_tier::own_region
                             ? own_region_utilisation_percent
                             : other_region_utilisation_percent;
    return candidate.known_in_flight() * 100 >= slots * percent;
}

/// When the trial became due that the request may carry at an upstream; empty
/// if there is none.
std::optional<core::time_point> trial_due_at(pick_request const& request,
                                             upstream const& candidate,
                                             core::time_point now)
{
    switch (request.trial)
    {
    case trial_permission::due:
        if (candidate.is_trial_due())
            return candidate.trial_due_at();
        break;
    case trial_permission::coverage:
        if (candidate.is_coverage_due(now))
            return candidate.coverage_due_at();
        break;
    case trial_permission::none:
        break;
    }
    return std::nullopt;
}

/// Claims the trial that the request may carry at an upstream.
bool claim_trial(pick_request const& request,
                 upstream& candidate,
                 core::time_point now)
{
    return request.trial == trial_permission::coverage
               ? candidate.claim_coverage(now)
               : candidate.claim_trial();
}

bool was_tried(pick_request const& request, upstream const* object)
{
    return std::any_of(request.tried.begin(),
                       request.tried.end(),
                       [&](auto const& tried)
                       {
                           return tried.get() == object;
                       });
}

/// The upstreams of a table, grouped for one request.
struct candidate_groups
{
    /// Upstreams with a free slot by locality, the nearest first.
    std::array<candidate_list, 3> by_locality;
    /// Avoided upstreams with a free slot: those that serve as reserve
    /// capacity, and those of last resort.
    candidate_list avoided;
    candidate_list last_resort;
    /// Whether any upstream is not avoided, with or without a free slot.
    bool any_not_avoided = false;
    /// Whether an untried upstream that is not avoided has a free slot and has
    /// recently succeeded.
    bool any_proven = false;
    /// The avoided upstream whose trial request has been due longest.
    boost::intrusive_ptr<upstream> const* trial = nullptr;
    core::time_point trial_due_at{};
    /// Whether any upstream may receive requests, and whether any of those is
    /// untried.
    bool any_usable = false;
    bool any_untried = false;
};

candidate_groups group_candidates(upstream_table const& table,
                                  pick_request const& request,
                                  core::time_point now)
{
    using health::upstream_standing;
    candidate_groups result;
    for (auto const& [object, distance] : table.entries())
    {
        auto const standing = object->standing(now);
        if (standing == upstream_standing::leaving ||
            standing == upstream_standing::ejected)
            continue;
        result.any_usable = true;
        result.any_not_avoided =
            result.any_not_avoided || standing != upstream_standing::avoided;
        if (was_tried(request, object.get()))
            continue;
        result.any_untried = true;
        if (!object->has_free_slot(now) ||
            exceeds_remote_utilisation(*object, distance))
            continue;
        if (standing != upstream_standing::avoided)
        {
            result.by_locality[static_cast<std::size_t>(distance)].push_back(
                &object);
            result.any_proven =
                result.any_proven ||
                object->last_success(now) >= now - max_success_age;
        }
        else
        {
            (object->is_last_resort() ? result.last_resort : result.avoided)
                .push_back(&object);
            auto const due_at = trial_due_at(request, *object, now);
            if (due_at &&
                (result.trial == nullptr || *due_at < result.trial_due_at))
            {
                result.trial = &object;
                result.trial_due_at = *due_at;
            }
        }
    }
    return result;
}

/// Whether a result shows that the upstream no longer works. Healthy upstreams
/// return error responses too.
bool invalidates_success(health::attempt_result result)
{
    switch (result)
    {
    case health::attempt_result::timeout:
    case health::attempt_result::connect_failure:
    case health::attempt_result::wrong_answer:
    case health::attempt_result::cut_short:
        return true;
    default:
        return false;
    }
}

} // namespace

core::result<pick, pick_error> picker::choose(pick_request const& request,
                                              core::time_point now)
{
    auto const table = table_.read();
    if (!table)
        return record_error(pick_error::no_upstream);
    auto const candidates = group_candidates(*table, request, now);
    // A due trial request takes precedence; exactly one request claims it.
    bool const can_recover =
        request.preference == success_preference::none || candidates.any_proven;
    if (candidates.trial != nullptr && can_recover &&
        claim_trial(request, **candidates.trial, now))
        return start_attempt(*candidates.trial, pick_tier::trial, now);
    random_sequence random(request.random);
    // The nearest locality with a free slot is used.
    for (std::size_t i = 0; i < candidates.by_locality.size(); ++i)
        if (!candidates.by_locality[i].empty())
            return start_attempt(
                choose_candidate(
                    candidates.by_locality[i], request, random, policy_, now),
                static_cast<pick_tier>(i),
                now);
    // Avoided upstreams are reserve capacity.
    if (!candidates.avoided.empty())
        return start_attempt(
            choose_by_policy(candidates.avoided, random, policy_, now),
            pick_tier::avoided,
            now);
    if (!candidates.any_not_avoided && !candidates.last_resort.empty())
        return start_attempt(
            choose_by_policy(candidates.last_resort, random, policy_, now),
            pick_tier::avoided,
            now);
    if (!candidates.any_usable)
        return record_error(pick_error::no_upstream);
    return record_error(candidates.any_untried ? pick_error::no_free_slot
                                               : pick_error::all_tried);
}

core::time_point picker::available_at(core::time_point now) const
{
    auto result = core::time_point::max();
    auto const table = table_.read();
    if (!table)
        return result;
    for (auto const& [object, distance] : table->entries())
    {
        auto const standing = object->standing(now);
        if (standing == health::upstream_standing::leaving ||
            standing == health::upstream_standing::ejected)
            continue;
        if (!object->is_held(now))
            return now;
        result = std::min(result, object->held_until());
    }
    return result;
}

void picker::finish_attempt(pick const& chosen,
                            health::attempt_report const& report,
                            core::time_point now)
{
    BOOST_ASSERT(chosen.object->endpoint().id == report.upstream);
    chosen.object->end_attempt();
    chosen.object->recorder()->record(report.result, report.latency);
    if (report.result == health::attempt_result::success)
        chosen.object->record_success(now);
    else if (invalidates_success(report.result))
        chosen.object->record_failure();
}

void picker::cancel_attempt(pick const& chosen, core::time_point now)
{
    finish_attempt(chosen,
                   {chosen.object->endpoint().id,
                    health::attempt_result::cancelled,
                    {},
                    {}},
                   now);
}

pick picker::start_attempt(boost::intrusive_ptr<upstream> const& object,
                           pick_tier tier,
                           core::time_point now)
{
    object->begin_attempt();
    object->record_start(now);
    picks_by_tier_.increment(tier);
    return {object, tier};
}

core::result<pick, pick_error> picker::record_error(pick_error error)
{
    errors_.increment(error);
    return core::failure(error);
}

} // namespace kumquatloom::routing
