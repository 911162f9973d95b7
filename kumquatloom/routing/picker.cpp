#include <kumquatloom/routing/picker.hpp>

#include <boost/assert.hpp>
#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::routing
{

namespace
{

/// Candidates that fit on the stack; most services have fewer upstreams.
constexpr std::size_t usual_candidates = 64;
/// Attempts to find a candidate whose weight lets it take part.
constexpr int weight_draws = 4;
/// Parts of the slots, in hundredths, that may be known to be in use at an
/// upstream of another failure domain and of another region for it to get
/// work: reports take 0.15 s and 0.5 s, in which a third or more of the
/// requests end and others begin.
constexpr unsigned near_use_percent = 84;
constexpr unsigned far_use_percent = 60;
/// Latency in seconds of upstreams before their first sample, if no candidate
/// has one. Any value serves, because only ratios matter.
constexpr double default_latency = 0.01;

using candidate_list =
    boost::container::small_vector<boost::intrusive_ptr<upstream> const*,
                                   usual_candidates>;

/// Stretches the random bits of a request to as many numbers as are needed
/// (the SplitMix64 finaliser).
class random_sequence
{
public:
    explicit random_sequence(std::uint64_t seed)
        : state_(seed)
    {
    }

    /// A number below `bound`.
    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(next() % bound);
    }

    /// A number from 0 to 1.
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

    /// Number of the sequence.
    std::uint64_t state_;
};

/// A random candidate; those with a low weight take part less often.
std::size_t draw(candidate_list const& candidates,
                 random_sequence& random,
                 core::time_point now)
{
    std::size_t at = random.below(candidates.size());
    for (int i = 1; i < weight_draws; ++i)
    {
        if (random.fraction() < (*candidates[at])->weight(now))
            break;
        at = random.below(candidates.size());
    }
    return at;
}

/// Cost of a candidate by the rule.
double
cost_of(upstream const& candidate, double fallback, balancing_policy rule)
{
    return rule == balancing_policy::load ? candidate.in_flight() + 1.0
                                          : candidate.cost(fallback);
}

/// The candidate with the smallest part of its slots in use, a random one
/// among equals.
boost::intrusive_ptr<upstream> const&
least_used(candidate_list const& candidates,
           random_sequence& random,
           core::time_point now)
{
    std::size_t best = 0;
    double best_use = 0;
    std::size_t equals = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        double const use = (*candidates[i])->use(now);
        if (i == 0 || use < best_use)
        {
            best = i;
            best_use = use;
            equals = 1;
        }
        else if (use == best_use && random.below(++equals) == 0)
            best = i;
    }
    return *candidates[best];
}

/// The cheaper of two random candidates.
boost::intrusive_ptr<upstream> const&
cheaper_of_two(candidate_list const& candidates,
               random_sequence& random,
               balancing_policy rule,
               core::time_point now)
{
    auto const& first = *candidates[draw(candidates, random, now)];
    auto const& second = *candidates[draw(candidates, random, now)];
    // A candidate without a sample is taken to be as quick as the other one.
    double const known =
        std::max(first->latency_seconds(), second->latency_seconds());
    double const fallback = known > 0 ? known : default_latency;
    return cost_of(*first, fallback, rule) <= cost_of(*second, fallback, rule)
               ? first
               : second;
}

/// The candidate that the rule prefers.
boost::intrusive_ptr<upstream> const&
preferred(candidate_list const& candidates,
          random_sequence& random,
          balancing_policy rule,
          core::time_point now)
{
    return rule == balancing_policy::least_used
               ? least_used(candidates, random, now)
               : cheaper_of_two(candidates, random, rule, now);
}

/// Whether an upstream further away may be in more use than is known here:
/// what its neighbours have in flight is known late, and many would choose the
/// same one at once.
bool is_too_used(upstream const& candidate, pick_tier distance)
{
    auto const slots = candidate.endpoint().slots;
    auto const others = candidate.known_in_flight() - candidate.in_flight();
    // Without reports of others there is nothing to be careful about.
    if (others == 0 || distance == pick_tier::own_domain)
        return false;
    auto const percent =
        distance == pick_tier::own_region ? near_use_percent : far_use_percent;
    return candidate.known_in_flight() * 100 >= slots * percent;
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

/// Sorts the upstreams of a table for one request.
struct sorted_candidates
{
    /// Upstreams with a free slot at each distance.
    std::array<candidate_list, 3> near_to_far;
    /// Avoided upstreams with a free slot, and those of them that are surely
    /// sick.
    candidate_list avoided;
    candidate_list last_resort;
    /// Whether any upstream is not avoided, with or without a free slot.
    bool any_well = false;
    /// An avoided upstream that wants a trial request.
    boost::intrusive_ptr<upstream> const* trial = nullptr;
    /// Whether any upstream may receive work, and any that was not tried.
    bool any_usable = false;
    bool any_untried = false;
};

sorted_candidates sort_candidates(upstream_table const& table,
                                  pick_request const& request,
                                  core::time_point now)
{
    using health::upstream_standing;
    sorted_candidates result;
    for (auto const& [object, distance] : table.entries())
    {
        auto const standing = object->standing(now);
        if (standing == upstream_standing::leaving ||
            standing == upstream_standing::ejected)
            continue;
        result.any_usable = true;
        result.any_well =
            result.any_well || standing != upstream_standing::avoided;
        if (was_tried(request, object.get()))
            continue;
        result.any_untried = true;
        if (!object->has_free_slot(now) || is_too_used(*object, distance))
            continue;
        if (standing != upstream_standing::avoided)
            result.near_to_far[static_cast<std::size_t>(distance)].push_back(
                &object);
        else
        {
            (object->is_last_resort() ? result.last_resort : result.avoided)
                .push_back(&object);
            if (request.may_be_trial && object->wants_trial())
                result.trial = &object;
        }
    }
    return result;
}

} // namespace

core::result<pick, pick_error> picker::choose(pick_request const& request,
                                              core::time_point now)
{
    auto const table = table_.read();
    if (!table)
        return fail(pick_error::no_upstream);
    auto const candidates = sort_candidates(*table, request, now);
    // A trial that was asked for goes first; one request claims it.
    if (candidates.trial != nullptr && (*candidates.trial)->claim_trial())
        return take(*candidates.trial, pick_tier::trial);
    random_sequence random(request.random);
    // The nearest distance with a free slot decides.
    for (std::size_t i = 0; i < candidates.near_to_far.size(); ++i)
        if (!candidates.near_to_far[i].empty())
            return take(
                preferred(candidates.near_to_far[i], random, rule_, now),
                static_cast<pick_tier>(i));
    // Avoided upstreams are a reserve of capacity.
    if (!candidates.avoided.empty())
        return take(preferred(candidates.avoided, random, rule_, now),
                    pick_tier::avoided);
    if (!candidates.any_well && !candidates.last_resort.empty())
        return take(preferred(candidates.last_resort, random, rule_, now),
                    pick_tier::avoided);
    if (!candidates.any_usable)
        return fail(pick_error::no_upstream);
    return fail(candidates.any_untried ? pick_error::no_free_slot
                                       : pick_error::all_tried);
}

void picker::finish_attempt(pick const& chosen,
                            health::attempt_report const& report,
                            [[maybe_unused]] core::time_point now)
{
    BOOST_ASSERT(chosen.object->endpoint().id == report.upstream);
    chosen.object->end_attempt();
    chosen.object->recorder()->record(report.result, report.latency);
}

pick picker::take(boost::intrusive_ptr<upstream> const& object, pick_tier tier)
{
    object->begin_attempt();
    spills_.increment(tier);
    return {object, tier};
}

core::result<pick, pick_error> picker::fail(pick_error error)
{
    errors_.increment(error);
    return core::failure(error);
}

} // namespace kumquatloom::routing
