#include <kumquatloom/health/ejection_limiter.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>

namespace
{

using namespace kumquatloom;
using health::upstream_standing;

std::size_t count(std::vector<health::standing_decision> const& decisions,
                  upstream_standing standing)
{
    return static_cast<std::size_t>(
        std::count_if(decisions.begin(),
                      decisions.end(),
                      [&](auto const& decision)
                      {
                          return decision.standing == standing;
                      }));
}

} // namespace

// Guards against an instance that ejects more upstreams than the floor allows
// after other upstreams have died.
TEST_CASE("an instance ejects and avoids within the floor and the budget")
{
    rc::prop(
        "for any standings and any number of live upstreams",
        []
        {
            auto const live = *rc::gen::inRange<unsigned>(0, 31);
            auto const floor = *rc::gen::inRange<unsigned>(0, 31);
            auto const budget = 30 - floor;
            std::vector<health::standing_decision> decisions(live);
            for (unsigned i = 0; i < live; ++i)
            {
                decisions[i].upstream = core::upstream_id(std::to_string(i));
                decisions[i].severity = *rc::gen::inRange(0, 50);
                decisions[i].standing =
                    *rc::gen::element(upstream_standing::normal,
                                      upstream_standing::avoided,
                                      upstream_standing::ejected);
            }
            auto const before = decisions;
            health::ejection_limiter(floor, budget).apply(decisions);
            auto const ejected = count(decisions, upstream_standing::ejected);
            auto const avoided = count(decisions, upstream_standing::avoided);
            RC_ASSERT(live - ejected >= std::min(live, floor));
            RC_ASSERT(ejected + avoided <= budget);
            // The ejections of highest severity stay: none that was demoted is
            // more severe than one that stays.
            for (unsigned i = 0; i < live; ++i)
                for (unsigned k = 0; k < live; ++k)
                    if (before[i].standing == upstream_standing::ejected &&
                        before[k].standing == upstream_standing::ejected &&
                        decisions[i].standing != upstream_standing::ejected &&
                        decisions[k].standing == upstream_standing::ejected)
                        RC_ASSERT(before[i].severity <= before[k].severity);
        });
}
