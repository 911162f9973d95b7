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

/// Settings of a fair queue.
struct fair_queue_settings
{
    /// Most items of all organisations.
    std::size_t items = 1024;
    /// Most items of one organisation.
    std::size_t items_per_organisation = 256;
};

/// What became of an item that was to be queued.
template <typename Item>
struct queue_admission
{
    /// Whether it was queued.
    bool queued = false;
    /// An item of the organisation with the most items, which had to make
    /// room. The caller answers it as not run.
    std::optional<Item> evicted;
};

/// Serves organisations in turn, one item each, so that the burst of one does
/// not delay the others by more than one item for each organisation that
/// waits. When it is full, the organisation with the most items gives up its
/// newest one for an organisation with fewer. Belongs to one thread.
template <typename Item>
class fair_queue
{
public:
    /// Starts empty.
    explicit fair_queue(fair_queue_settings settings)
        : settings_(settings)
    {
        BOOST_ASSERT(settings.items > 0);
    }

    /// Queues an item, if necessary in place of another organisation's.
    queue_admission<Item> push(core::organisation_name const& organisation,
                               Item item)
    {
        queue_admission<Item> result;
        auto const found = places_.find(organisation);
        auto const queued =
            found == places_.end() ? 0 : found->second->items.size();
        if (queued >= settings_.items_per_organisation)
            return result;
        if (size_ >= settings_.items)
        {
            // Only an organisation with at least two more makes room, since
            // otherwise two would displace each other in turn.
            auto const longest = longest_line();
            if (longest->items.size() < queued + 2)
                return result;
            result.evicted = std::move(longest->items.back());
            longest->items.pop_back();
            --size_;
        }
        line_of(organisation).items.push_back(std::move(item));
        ++size_;
        result.queued = true;
        return result;
    }

    /// The next item, or nothing if the queue is empty.
    std::optional<Item> pop()
    {
        if (lines_.empty())
            return std::nullopt;
        auto& first = lines_.front();
        std::optional<Item> item(std::move(first.items.front()));
        first.items.pop_front();
        --size_;
        if (first.items.empty())
        {
            places_.erase(first.organisation);
            lines_.pop_front();
        }
        else
            lines_.splice(lines_.end(), lines_, lines_.begin());
        return item;
    }

    /// Number of items.
    std::size_t size() const
    {
        return size_;
    }

    /// Number of organisations that wait.
    std::size_t organisations() const
    {
        return lines_.size();
    }

private:
    /// The items of one organisation, never empty between two calls.
    struct line
    {
        /// The organisation.
        core::organisation_name organisation;
        /// Its items in the order of arrival.
        std::deque<Item> items;
    };

    /// The line of an organisation, which is added last if it is new.
    line& line_of(core::organisation_name const& organisation)
    {
        auto const [place, added] =
            places_.try_emplace(organisation, lines_.end());
        if (added)
            place->second = lines_.insert(lines_.end(), line{organisation, {}});
        return *place->second;
    }

    /// The line with the most items; the queue must not be empty.
    typename std::list<line>::iterator longest_line()
    {
        return std::max_element(lines_.begin(),
                                lines_.end(),
                                [](line const& left, line const& right)
                                {
                                    return left.items.size() <
                                           right.items.size();
                                });
    }

    /// Settings.
    fair_queue_settings settings_;
    /// One line for each organisation that waits, the next one first.
    std::list<line> lines_;
    /// Where each organisation's line is.
    std::unordered_map<core::organisation_name,
                       typename std::list<line>::iterator>
        places_;
    /// Items of all organisations.
    std::size_t size_ = 0;
};

} // namespace kumquatloom::limits

#endif
