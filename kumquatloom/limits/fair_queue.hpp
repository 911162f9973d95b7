#ifndef KUMQUATLOOM_LIMITS_FAIR_QUEUE_HPP
#define KUMQUATLOOM_LIMITS_FAIR_QUEUE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/connection_turn.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

namespace kumquatloom::limits
{

struct fair_queue_settings
{
    /// Bound on the items of all organisations together.
    std::size_t max_items = 1024;
    /// Bound on the items of each organisation.
    std::size_t max_items_per_organisation = 256;
};

/// Result of a push.
template <typename Item>
struct push_result
{
    /// Whether the item was queued.
    bool queued = false;
    /// The item that was removed to make room. Its request has not been run;
    /// the caller of push() must complete it.
    std::optional<Item> evicted;
};

/// Round-robin fair queue with one subqueue per organisation. However many
/// items an organisation queues, at most one of them is served before the next
/// item of another waiting organisation. When the queue is full, a new item
/// evicts the last item of the organisation with the most items if its own
/// organisation has at least two fewer, and is rejected otherwise. The items of
/// an organisation are served by turn, and those of one turn in the order of
/// arrival; an item evicts a later turn of its own organisation. Not
/// thread-safe.
template <typename Item>
class fair_queue
{
public:
    explicit fair_queue(fair_queue_settings settings)
        : settings_(settings)
    {
        BOOST_ASSERT(settings.max_items > 0);
    }

    /// Queues an item, evicting another one if necessary.
    push_result<Item> push(core::organisation_name const& organisation,
                           Item item,
                           turn_number turn = 0)
    {
        push_result<Item> result;
        auto const found = positions_.find(organisation);
        auto const own_items =
            found == positions_.end() ? 0 : found->second->items.size();
        bool const full = size_ >= settings_.max_items;
        if ((full || own_items >= settings_.max_items_per_organisation) &&
            own_items != 0 && found->second->items.back().turn > turn)
        {
            result.evicted = std::move(found->second->items.back().item);
            found->second->items.pop_back();
            --size_;
        }
        else if (own_items >= settings_.max_items_per_organisation)
            return result;
        else if (full)
        {
            // Evict only from an organisation with at least two items more.
            // With a difference of one, two organisations would keep evicting
            // each other's items.
            auto const longest = longest_subqueue();
            if (longest->items.size() < own_items + 2)
                return result;
            result.evicted = std::move(longest->items.back().item);
            longest->items.pop_back();
            --size_;
        }
        auto& items = subqueue_of(organisation).items;
        items.insert(after_turn(items, turn), {turn, std::move(item)});
        ++size_;
        result.queued = true;
        return result;
    }

    /// Removes the next item; nothing if the queue is empty.
    std::optional<Item> pop()
    {
        if (subqueues_.empty())
            return std::nullopt;
        auto& first = subqueues_.front();
        std::optional<Item> item(std::move(first.items.front().item));
        first.items.pop_front();
        --size_;
        if (first.items.empty())
        {
            positions_.erase(first.organisation);
            subqueues_.pop_front();
        }
        else
            subqueues_.splice(subqueues_.end(), subqueues_, subqueues_.begin());
        return item;
    }

    std::size_t size() const
    {
        return size_;
    }

    /// Number of items that aren't served after a new one of the organisation
    /// with this turn because of its turn.
    std::size_t items_before(core::organisation_name const& organisation,
                             turn_number turn)
    {
        auto const found = positions_.find(organisation);
        if (found == positions_.end())
            return size_;
        auto& items = found->second->items;
        return size_ -
               static_cast<std::size_t>(items.end() - after_turn(items, turn));
    }

    /// Number of organisations with queued items.
    std::size_t organisations() const
    {
        return subqueues_.size();
    }

private:
    struct turn_item
    {
        turn_number turn;
        Item item;
    };

    /// The position behind the items with at most this turn.
    static typename std::deque<turn_item>::iterator
    after_turn(std::deque<turn_item>& items, turn_number turn)
    {
        return std::upper_bound(items.begin(),
                                items.end(),
                                turn,
                                [](turn_number value, turn_item const& other)
                                {
                                    return value < other.turn;
                                });
    }

    /// The items of one organisation; never empty between two calls.
    struct subqueue
    {
        core::organisation_name organisation;
        /// Items by turn and then in the order of arrival.
        std::deque<turn_item> items;
    };

    /// The subqueue of an organisation; a new one is added at the end.
    subqueue& subqueue_of(core::organisation_name const& organisation)
    {
        auto const [position, added] =
            positions_.try_emplace(organisation, subqueues_.end());
        if (added)
            position->second =
                subqueues_.insert(subqueues_.end(), subqueue{organisation, {}});
        return *position->second;
    }

    /// The subqueue with the most items. Requires that there is one.
    typename std::list<subqueue>::iterator longest_subqueue()
    {
        return std::max_element(subqueues_.begin(),
                                subqueues_.end(),
                                [](subqueue const& left, subqueue const& right)
                                {
                                    return left.items.size() <
                                           right.items.size();
                                });
    }

    fair_queue_settings settings_;
    /// Subqueues in the order in which they are served next.
    std::list<subqueue> subqueues_;
    /// Position of each organisation's subqueue.
    std::unordered_map<core::organisation_name,
                       typename std::list<subqueue>::iterator>
        positions_;
    /// Items of all organisations.
    std::size_t size_ = 0;
};

} // namespace kumquatloom::limits

#endif
