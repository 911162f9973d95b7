#ifndef KUMQUATLOOM_LIMITS_FAIR_QUEUE_HPP
#define KUMQUATLOOM_LIMITS_FAIR_QUEUE_HPP

#include <kumquatloom/core/ids.hpp>

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
    /// The item of another organisation that was removed to make room. Its
    /// request has not been run; the caller of push() must complete it.
    std::optional<Item> evicted;
};

/// Round-robin fair queue with one subqueue per organisation. However many
/// items an organisation queues, at most one of them is served before the next
/// item of another waiting organisation. When the queue is full, a new item
/// evicts the newest item of the organisation with the most items if its own
/// organisation has at least two fewer, and is rejected otherwise. Not
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

    /// Queues an item, evicting one of another organisation if necessary.
    push_result<Item> push(core::organisation_name const& organisation,
                           Item item)
    {
        push_result<Item> result;
        auto const found = positions_.find(organisation);
        auto const own_items =
            found == positions_.end() ? 0 : found->second->items.size();
        if (own_items >= settings_.max_items_per_organisation)
            return result;
        if (size_ >= settings_.max_items)
        {
            // Evict only from an organisation with at least two items more.
            // With a difference of one, two organisations would keep evicting
            // each other's items.
            auto const longest = longest_subqueue();
            if (longest->items.size() < own_items + 2)
                return result;
            result.evicted = std::move(longest->items.back());
            longest->items.pop_back();
            --size_;
        }
        subqueue_of(organisation).items.push_back(std::move(item));
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
        std::optional<Item> item(std::move(first.items.front()));
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

    /// Number of organisations with queued items.
    std::size_t organisations() const
    {
        return subqueues_.size();
    }

private:
    /// The items of one organisation; never empty between two calls.
    struct subqueue
    {
        core::organisation_name organisation;
        /// Items in the order of arrival.
        std::deque<Item> items;
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
