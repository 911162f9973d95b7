#include <kumquatloom/health/ejection_limiter.hpp>

#include <algorithm>
#include <cstddef>

namespace kumquatloom::health
{

namespace
{

/// Returns the decisions with a given standing, the lowest severity first. Ties
/// are broken by upstream id, so that instances with the same evidence reach
/// the same decisions.
std::vector<standing_decision*>
with_standing(std::vector<standing_decision>& decisions,
              upstream_standing standing)
{
    std::vector<standing_decision*> found;
    for (auto& decision : decisions)
        if (decision.standing == standing)
            found.push_back(&decision);
    std::sort(found.begin(),
              found.end(),
              [](auto const* left, auto const* right)
              {
                  if (left->severity != right->severity)
                      return left->severity < right->severity;
                  return left->upstream < right->upstream;
              });
    return found;
}

/// Changes the standing `from` to `to` in all decisions that have it, except
/// for the `max_kept` ones of highest severity. Returns how many keep it.
std::size_t relax(std::vector<standing_decision>& decisions,
                  upstream_standing from,
                  upstream_standing to,
                  std::size_t max_kept)
{
    auto const found = with_standing(decisions, from);
    std::size_t const excess = found.size() - std::min(found.size(), max_kept);
    for (std::size_t i = 0; i < excess; ++i)
        found[i]->standing = to;
    return found.size() - excess;
}

} // namespace

void ejection_limiter::apply(std::vector<standing_decision>& decisions) const
{
    std::size_t const live = decisions.size();
    std::size_t const ejectable = live - std::min<std::size_t>(live, floor_);
    std::size_t const ejected =
        relax(decisions,
              upstream_standing::ejected,
              upstream_standing::avoided,
              std::min<std::size_t>(ejectable, budget_));
    relax(decisions,
          upstream_standing::avoided,
          upstream_standing::normal,
          budget_ - ejected);
}

} // namespace kumquatloom::health
