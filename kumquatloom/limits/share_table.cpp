#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/limits/share_table.hpp>

#include <algorithm>
#include <atomic>
#include <bit>
#include <cstdint>
#include <memory>
#include <utility>

namespace kumquatloom::limits
{

namespace
{

std::uint64_t hash_of(limit_key const& key)
{
    return core::stable_hash(key.organisation.value(),
                             core::stable_hash(key.prefix));
}

} // namespace

/// A share that several generations hold.
struct share_table::entry : boost::intrusive_ref_counter<entry>
{
    /// Makes a new share.
    entry(rate_share_settings settings,
          limit_key const& key,
          instance_identity const& self,
          microtoken_rate base,
          core::time_point now)
        : share(settings, key, self, base, now)
    {
    }

    /// The share.
    rate_share share;
};

/// A hash table with open addressing that only grows. Idle shares leave when
/// the rest moves to the next generation.
class share_table::generation : public boost::intrusive_ref_counter<generation>
{
public:
    /// Starts empty, with room for a number of shares.
    explicit generation(std::size_t shares)
        : room_(shares)
        // At most half of the slots are used, so that probing ends soon.
        , mask_(std::bit_ceil(2 * shares) - 1)
        , slots_(std::make_unique<std::atomic<entry*>[]>(mask_ + 1))
    {
    }

    generation(generation const&) = delete;
    generation& operator=(generation const&) = delete;

    ~generation()
    {
        for_each(
            [](entry& item)
            {
                intrusive_ptr_release(&item);
            });
    }

    /// The share of a key, or null.
    boost::intrusive_ptr<entry> find(limit_key const& key) const
    {
        for (auto slot = hash_of(key) & mask_;; slot = (slot + 1) & mask_)
        {
            auto* const item = slots_[slot].load(std::memory_order_acquire);
            if (item == nullptr || item->share.key() == key)
                return item;
        }
    }

    /// Adds a share unless there is one of its key; returns the one in place,
    /// or null if there is no room.
    boost::intrusive_ptr<entry> add(boost::intrusive_ptr<entry> next) const
    {
        if (size_.fetch_add(1, std::memory_order_relaxed) >= room_)
        {
            size_.fetch_sub(1, std::memory_order_relaxed);
            return nullptr;
        }
        auto const& key = next->share.key();
        for (auto slot = hash_of(key) & mask_;; slot = (slot + 1) & mask_)
        {
            entry* found = nullptr;
            if (slots_[slot].compare_exchange_strong(
                    found, next.get(), std::memory_order_acq_rel))
            {
                // The slot holds a reference of its own.
                intrusive_ptr_add_ref(next.get());
                return next;
            }
            if (found->share.key() != key)
                continue;
            // Another thread was faster.
            size_.fetch_sub(1, std::memory_order_relaxed);
            return found;
        }
    }

    /// Visits every share.
    template <typename Visitor>
    void for_each(Visitor const& visit) const
    {
        for (std::size_t slot = 0; slot <= mask_; ++slot)
            if (auto* const item = slots_[slot].load(std::memory_order_acquire))
                visit(*item);
    }

    /// Number of shares.
    std::size_t size() const
    {
        return size_.load(std::memory_order_relaxed);
    }

private:
    /// Most shares.
    std::size_t room_;
    /// Number of slots less one.
    std::size_t mask_;
    /// The shares. Adding one does not change what readers have found, so that
    /// a published generation still grows.
    std::unique_ptr<std::atomic<entry*>[]> slots_;
    /// Number of shares.
    mutable std::atomic<std::size_t> size_{0};
};

share_table::share_table(share_table_settings settings, instance_identity self)
    : settings_(settings)
    , self_(std::move(self))
    , current_(new generation(settings.shares))
{
}

share_table::~share_table() = default;

bool share_table::try_take(limit_key const& key,
                           microtoken_rate base,
                           core::time_point now)
{
    auto const found = find_or_add(key, base, now);
    return found && found->share.try_take(now);
}

void share_table::refresh(core::time_point now)
{
    auto const old = current_.read();
    std::vector<boost::intrusive_ptr<entry>> kept;
    // Idle shares are counted one by one: the size of the generation also has
    // shares that requests add meanwhile, which are not idle.
    std::size_t idle = 0;
    old->for_each(
        [&](entry& item)
        {
            item.share.refresh(now);
            if (item.share.idle(now, settings_.idle_time))
                ++idle;
            else
                kept.emplace_back(&item);
        });
    // Moving is worth it once a quarter of the room can be freed. A share that
    // is added to the old generation meanwhile is lost and made anew, with one
    // request to serve at once.
    if (idle < std::max<std::size_t>(settings_.shares / 4, 1))
        return;
    boost::intrusive_ptr<generation> next(new generation(settings_.shares));
    for (auto& item : kept)
        next->add(std::move(item));
    current_.publish(std::move(next));
}

void share_table::update_base(
    std::function<microtoken_rate(limit_key const&)> const& base_of,
    core::time_point now)
{
    current_.read()->for_each(
        [&](entry& item)
        {
            item.share.update_base(base_of(item.share.key()), now);
        });
}

std::vector<share_request> share_table::make_requests(core::time_point now)
{
    std::vector<share_request> requests;
    current_.read()->for_each(
        [&](entry& item)
        {
            if (auto request = item.share.make_requests(now))
                requests.push_back(std::move(*request));
        });
    return requests;
}

std::optional<share_grant> share_table::handle_request(
    share_request const& request, microtoken_rate base, core::time_point now)
{
    auto const found = find_or_add(request.key, base, now);
    return found ? found->share.handle_request(request, now) : std::nullopt;
}

bool share_table::handle_grant(share_grant const& grant, core::time_point now)
{
    auto const found = current_.read()->find(grant.key);
    return found && found->share.handle_grant(grant, now);
}

std::size_t share_table::size() const
{
    return current_.read()->size();
}

boost::intrusive_ptr<share_table::entry> share_table::find_or_add(
    limit_key const& key, microtoken_rate base, core::time_point now)
{
    auto const shares = current_.read();
    if (auto found = shares->find(key))
        return found;
    return shares->add(new entry(settings_.share, key, self_, base, now));
}

} // namespace kumquatloom::limits
