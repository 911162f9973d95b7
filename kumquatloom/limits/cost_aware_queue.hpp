#ifndef KUMQUATLOOM_LIMITS_COST_AWARE_QUEUE_HPP
#define KUMQUATLOOM_LIMITS_COST_AWARE_QUEUE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/fair_queue.hpp>
#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/limits/round_clock.hpp>
#include <kumquatloom/limits/start_times.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatloom::limits
{

/// Queue of requests whose delay or refusal should cost the callers least. The
/// most urgent priority is served first. Within a priority, requests that can
/// still meet their target go before late ones, organisations take turns, and
/// the request with the least slack goes first; slack shrinks with age. Of a
/// connection that pipelines, one request takes part in each round. Late
/// requests go by their chance to meet the time limit. When the queue is full,
/// the request whose refusal costs least is evicted. Items are compared with
/// `==`. Operations are linear in the number of items, which is bounded. Not
/// thread-safe.
template <typename Item>
class cost_aware_queue
{
public:
    explicit cost_aware_queue(std::size_t max_items)
        : max_items_(max_items)
    {
        BOOST_ASSERT(max_items > 0);
        entries_.reserve(std::min<std::size_t>(max_items, usual_items));
    }

    /// Queues an item, evicting another one if the queue is full and the
    /// refusal of that one costs less. `connection` is that of a pipelined
    /// request and null otherwise.
    push_result<Item> push(core::organisation_name const& organisation,
                           priority level,
                           start_times times,
                           Item item,
                           core::time_point now,
                           connection_turn* connection = nullptr)
    {
        push_result<Item> result;
        auto& turns = turns_[index(level)];
        auto const turn = rounds_[index(level)].assign(connection);
        if (entries_.size() >= max_items_)
        {
            auto const own = turns.queued_of(organisation);
            auto victim = cheapest_refusal(now);
            if (!costs_less(*victim, level, times, own, now))
                victim = later_turn(turns.find(organisation), level, turn, now);
            if (victim == entries_.end())
                return result;
            result.evicted = std::move(victim->item);
            remove(victim);
        }
        entries_.push_back({std::move(item),
                            level,
                            times,
                            turns.add(organisation),
                            next_number_++,
                            turn});
        result.queued = true;
        return result;
    }

    /// The next item for which `is_eligible` holds; null if there is none.
    template <typename Predicate>
    Item const* best(core::time_point now, Predicate is_eligible) const
    {
        entry const* best_entry = nullptr;
        for (auto const& candidate : entries_)
            if (is_eligible(candidate.item) &&
                (best_entry == nullptr ||
                 goes_before(candidate, *best_entry, now)))
                best_entry = &candidate;
        return best_entry == nullptr ? nullptr : &best_entry->item;
    }

    Item const* best(core::time_point now) const
    {
        return best(now,
                    [](Item const&)
                    {
                        return true;
                    });
    }

    /// Removes an item that has got its turn.
    void serve(Item const& item)
    {
        auto const found = find(item);
        if (found == entries_.end())
            return;
        auto const level = found->level;
        auto const turn = found->turn;
        turns_[index(level)].take(*found->organisation);
        remove(found);
        rounds_[index(level)].serve(turn, ordinary_items(level));
        if (entries_.empty())
            for (auto& rounds : rounds_)
                rounds.restart();
    }

    /// Removes an item that is no longer waiting, if it is queued.
    void withdraw(Item const& item)
    {
        auto const found = find(item);
        if (found != entries_.end())
            remove(found);
    }

    std::size_t size() const
    {
        return entries_.size();
    }

    /// The most urgent priority with items. Requires that there are some.
    priority top_priority() const
    {
        BOOST_ASSERT(!entries_.empty());
        auto result = priority::low;
        for (auto const& item : entries_)
            result = std::min(result, item.level);
        return result;
    }

    /// Number of items of the same or a higher priority.
    std::size_t items_up_to(priority level) const
    {
        return static_cast<std::size_t>(std::count_if(entries_.begin(),
                                                      entries_.end(),
                                                      [&](entry const& item)
                                                      {
                                                          return item.level <=
                                                                 level;
                                                      }));
    }

    /// Number of items that would be served before a new one.
    std::size_t ahead_of(core::organisation_name const& organisation,
                         priority level,
                         start_times const& times,
                         core::time_point now,
                         connection_turn const* connection = nullptr) const
    {
        auto const& rounds = rounds_[index(level)];
        auto const round = rounds.round_of(rounds.next(connection));
        auto const own = turns_[index(level)].find(organisation);
        std::size_t urgent = 0;
        std::size_t same_class = 0;
        std::size_t own_ahead = 0;
        bool const is_late = now > times.on_time;
        for (auto const& item : entries_)
        {
            if (item.level > level)
                continue;
            bool const item_is_late = now > item.times.on_time;
            if (item.level < level || (is_late && !item_is_late))
                ++urgent;
            else if (item_is_late == is_late && item.organisation == own)
            {
                auto const item_round = round_of(item);
                if (item_round < round ||
                    (item_round == round && is_sooner(item.times, times, now)))
                    ++own_ahead;
            }
            else if (item_is_late == is_late)
                ++same_class;
        }
        // Of each other organisation, as many items are served before the new
        // one as its own organisation has ahead, and one more.
        auto const others = std::min(
            same_class, turns_[index(level)].sum_up_to(own_ahead + 1, own));
        return urgent + own_ahead + others;
    }

    /// Removes and returns the items that can't be started in time if a slot is
    /// free for a priority and a number of items ahead after
    /// `wait(ahead, level)`, which yields a time or nothing.
    template <typename Wait>
    std::vector<Item> remove_hopeless(core::time_point now, Wait wait)
    {
        std::sort(entries_.begin(),
                  entries_.end(),
                  [this, now](entry const& left, entry const& right)
                  {
                      return precedes(left, right, now);
                  });
        std::vector<Item> removed;
        // Positions ignore the turns of organisations, so that an item of an
        // organisation with few is at its position or before it.
        std::size_t ahead = 0;
        for (std::size_t i = 0; i < entries_.size();)
        {
            auto const& item = entries_[i];
            auto const own_turn =
                std::min(ahead, turns_ahead(i) + items_above(item.level));
            auto const expected = wait(own_turn, item.level);
            if (item.times.last == core::time_point::max() ||
                now + expected.value_or(core::duration::zero()) <=
                    item.times.last)
            {
                ++ahead;
                ++i;
                continue;
            }
            removed.push_back(item.item);
            remove_ordered(entries_.begin() + static_cast<std::ptrdiff_t>(i));
        }
        return removed;
    }

private:
    /// Most services of an instance have fewer waiting requests.
    static constexpr std::size_t usual_items = 64;
    static constexpr std::size_t levels =
        static_cast<std::size_t>(priority::count);

    /// Turns of one organisation within a priority.
    struct turn_state
    {
        std::size_t queued = 0;
        /// Number of turns, counted from that of the organisation which had the
        /// fewest when this one started to wait.
        std::size_t taken = 0;
    };

    /// Turns of the organisations with items of one priority.
    class turn_table
    {
    public:
        turn_state* add(core::organisation_name const& organisation)
        {
            auto const [found, added] =
                by_name_.try_emplace(organisation, turn_state());
            if (added)
                found->second.taken = current_;
            ++found->second.queued;
            return &found->second;
        }

        void take(turn_state& organisation)
        {
            current_ = std::max(current_, organisation.taken);
            ++organisation.taken;
        }

        void remove(turn_state const* organisation)
        {
            auto const found =
                std::find_if(by_name_.begin(),
                             by_name_.end(),
                             [&](auto const& item)
                             {
                                 return &item.second == organisation;
                             });
            BOOST_ASSERT(found != by_name_.end());
            if (--found->second.queued == 0)
                by_name_.erase(found);
        }

        turn_state const*
        find(core::organisation_name const& organisation) const
        {
            auto const found = by_name_.find(organisation);
            return found == by_name_.end() ? nullptr : &found->second;
        }

        std::size_t queued_of(core::organisation_name const& organisation) const
        {
            auto const* const found = find(organisation);
            return found == nullptr ? 0 : found->queued;
        }

        /// Sum of the items of each organisation other than `except`, counted
        /// up to `bound` for each.
        std::size_t sum_up_to(std::size_t bound, turn_state const* except) const
        {
            std::size_t sum = 0;
            for (auto const& [name, state] : by_name_)
                if (&state != except)
                    sum += std::min(state.queued, bound);
            return sum;
        }

    private:
        std::unordered_map<core::organisation_name, turn_state> by_name_;
        /// Turns taken by the organisation that was served last.
        std::size_t current_ = 0;
    };

    /// A queued item.
    struct entry
    {
        Item item;
        priority level;
        start_times times;
        turn_state* organisation;
        /// Order of arrival.
        std::size_t number;
        /// Its turn; zero unless it is pipelined.
        turn_number turn;
    };

    using iterator = typename std::vector<entry>::iterator;

    static std::size_t index(priority value)
    {
        return static_cast<std::size_t>(value);
    }

    /// Whether the left one goes before the right one within a priority,
    /// an organisation and a class of lateness.
    static bool is_sooner(start_times const& left,
                          start_times const& right,
                          core::time_point now)
    {
        if (now <= left.on_time)
            return left.on_time <= right.on_time;
        bool const left_is_safe = now <= left.in_limit;
        bool const right_is_safe = now <= right.in_limit;
        return left_is_safe != right_is_safe ? left_is_safe
                                             : left.last <= right.last;
    }

    turn_number round_of(entry const& item) const
    {
        return rounds_[index(item.level)].round_of(item.turn);
    }

    std::size_t ordinary_items(priority level) const
    {
        return static_cast<std::size_t>(
            std::count_if(entries_.begin(),
                          entries_.end(),
                          [level](entry const& item)
                          {
                              return item.level == level && item.turn == 0;
                          }));
    }

    /// The order without the turns of organisations.
    bool
    precedes(entry const& left, entry const& right, core::time_point now) const
    {
        if (left.level != right.level)
            return left.level < right.level;
        bool const left_is_late = now > left.times.on_time;
        bool const right_is_late = now > right.times.on_time;
        if (left_is_late != right_is_late)
            return right_is_late;
        if (round_of(left) != round_of(right))
            return round_of(left) < round_of(right);
        bool const left_is_sooner = is_sooner(left.times, right.times, now);
        bool const right_is_sooner = is_sooner(right.times, left.times, now);
        return left_is_sooner != right_is_sooner ? left_is_sooner
                                                 : left.number < right.number;
    }

    /// The order in which items are served.
    bool goes_before(entry const& left,
                     entry const& right,
                     core::time_point now) const
    {
        bool const same_class =
            left.level == right.level &&
            (now > left.times.on_time) == (now > right.times.on_time);
        if (same_class && left.organisation->taken != right.organisation->taken)
            return left.organisation->taken < right.organisation->taken;
        return precedes(left, right, now);
    }

    /// The item whose refusal costs least: of the lowest priority, late, of the
    /// organisation with the most items, served last.
    iterator cheapest_refusal(core::time_point now)
    {
        return std::max_element(
            entries_.begin(),
            entries_.end(),
            [this, now](entry const& left, entry const& right)
            {
                if (left.level != right.level)
                    return left.level < right.level;
                bool const left_is_late = now > left.times.on_time;
                bool const right_is_late = now > right.times.on_time;
                if (left_is_late != right_is_late)
                    return right_is_late;
                if (left.organisation->queued != right.organisation->queued)
                    return left.organisation->queued <
                           right.organisation->queued;
                return precedes(left, right, now);
            });
    }

    /// Whether the refusal of a queued item costs less than that of a new one
    /// whose organisation has `own` items of its priority.
    static bool costs_less(entry const& victim,
                           priority level,
                           start_times const& times,
                           std::size_t own,
                           core::time_point now)
    {
        if (victim.level != level)
            return victim.level > level;
        bool const victim_is_late = now > victim.times.on_time;
        bool const is_late = now > times.on_time;
        if (victim_is_late != is_late)
            return victim_is_late;
        // With a difference of one, two organisations would keep evicting each
        // other's items.
        return victim.organisation->queued >= own + 2;
    }

    /// The item of an organisation that is refused for a new one of it: the
    /// last one of a later round or, if the new one isn't pipelined, the last
    /// pipelined one. The end if there is none.
    iterator later_turn(turn_state const* organisation,
                        priority level,
                        turn_number turn,
                        core::time_point now)
    {
        auto const round = rounds_[index(level)].round_of(turn);
        auto result = entries_.end();
        for (auto item = entries_.begin(); item != entries_.end(); ++item)
            if (item->level == level && item->organisation == organisation &&
                item->turn != 0 && (turn == 0 || round_of(*item) > round) &&
                (result == entries_.end() || precedes(*result, *item, now)))
                result = item;
        return result;
    }

    /// Upper bound of the items of its priority that are served before the item
    /// at a position, by the turns of organisations.
    std::size_t turns_ahead(std::size_t position) const
    {
        auto const& item = entries_[position];
        std::size_t own_ahead = 0;
        for (std::size_t i = 0; i < position; ++i)
            own_ahead += entries_[i].level == item.level &&
                                 entries_[i].organisation == item.organisation
                             ? 1
                             : 0;
        return own_ahead + turns_[index(item.level)].sum_up_to(
                               own_ahead + 1, item.organisation);
    }

    std::size_t items_above(priority level) const
    {
        return level == priority::high
                   ? 0
                   : items_up_to(static_cast<priority>(index(level) - 1));
    }

    iterator find(Item const& item)
    {
        return std::find_if(entries_.begin(),
                            entries_.end(),
                            [&](entry const& candidate)
                            {
                                return candidate.item == item;
                            });
    }

    void remove(iterator position)
    {
        turns_[index(position->level)].remove(position->organisation);
        if (position != entries_.end() - 1)
            *position = std::move(entries_.back());
        entries_.pop_back();
    }

    void remove_ordered(iterator position)
    {
        turns_[index(position->level)].remove(position->organisation);
        entries_.erase(position);
    }

    std::size_t max_items_;
    std::vector<entry> entries_;
    std::array<turn_table, levels> turns_;
    /// Rounds of the connections that pipeline, by priority.
    std::array<round_clock, levels> rounds_;
    std::size_t next_number_ = 0;
};

} // namespace kumquatloom::limits

#endif
