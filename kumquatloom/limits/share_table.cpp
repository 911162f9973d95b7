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

/// A reference-counted share; a table and its successor both refer to it.
struct share_table::entry : boost::intrusive_ref_counter<entry>
{
    entry(rate_share_settings settings,
          limit_key const& key,
          instance_identity const& self,
          microtoken_rate base,
          core::time_point now)
        : share(settings, key, self, base, now)
    {
    }

    rate_share share;
};

/// A lock-free hash table with open addressing and no removal. To drop idle
/// shares, the other shares are copied to a new table that replaces this one.
class share_table::hash_table : public boost::intrusive_ref_counter<hash_table>
{
public:
    explicit hash_table(std::size_t capacity)
        : capacity_(capacity)
        // A load factor of at most one half keeps the probe sequences short.
        , mask_(std::bit_ceil(2 * capacity) - 1)
        , slots_(std::make_unique<std::atomic<entry*>[]>(mask_ + 1))
    {
    }

    hash_table(hash_table const&) = delete;
    hash_table& operator=(hash_table const&) = delete;

    ~hash_table()
    {
        for_each(
            [](entry& item)
            {
                intrusive_ptr_release(&item);
            });
    }

    /// Finds the share of a key; null if there is none.
    boost::intrusive_ptr<entry> find(limit_key const& key) const
    {
        for (auto slot = hash_of(key) & mask_;; slot = (slot + 1) & mask_)
        {
            auto* const item = slots_[slot].load(std::memory_order_acquire);
            if (item == nullptr || item->share.key() == key)
                return item;
        }
    }

    /// Adds a share unless its key is present. Returns the share in the table,
    /// or null if the table is full.
    boost::intrusive_ptr<entry> add(boost::intrusive_ptr<entry> item) const
    {
        if (size_.fetch_add(1, std::memory_order_relaxed) >= capacity_)
        {
            size_.fetch_sub(1, std::memory_order_relaxed);
            return nullptr;
        }
        auto const& key = item->share.key();
        for (auto slot = hash_of(key) & mask_;; slot = (slot + 1) & mask_)
        {
            entry* found = nullptr;
            if (slots_[slot].compare_exchange_strong(
                    found, item.get(), std::memory_order_acq_rel))
            {
                // The slot owns a reference.
                intrusive_ptr_add_ref(item.get());
                return item;
            }
            if (found->share.key() != key)
                continue;
            // Another thread has added the key.
            size_.fetch_sub(1, std::memory_order_relaxed);
            return found;
        }
    }

    template <typename Visitor>
    void for_each(Visitor const& visit) const
    {
        for (std::size_t slot = 0; slot <= mask_; ++slot)
            if (auto* const item = slots_[slot].load(std::memory_order_acquire))
                visit(*item);
    }

    std::size_t size() const
    {
        return size_.load(std::memory_order_relaxed);
    }

private:
    /// Most shares that the table accepts.
    std::size_t capacity_;
    /// Number of slots, a power of two, less one.
    std::size_t mask_;
    /// The shares, null in free slots. A slot is written only once, so that
    /// shares can be added while other threads read.
    std::unique_ptr<std::atomic<entry*>[]> slots_;
    mutable std::atomic<std::size_t> size_{0};
};

share_table::share_table(share_table_settings settings, instance_identity self)
    : settings_(settings)
    , self_(std::move(self))
    , table_(new hash_table(settings.shares))
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
    auto const old = table_.read();
    std::vector<boost::intrusive_ptr<entry>> active;
    // Count idle shares one by one: the table's size also includes shares that
    // request threads add meanwhile, which are not idle.
    std::size_t idle = 0;
    old->for_each(
        [&](entry& item)
        {
            item.share.refresh(now);
            if (item.share.idle(now, settings_.idle_timeout))
                ++idle;
            else
                active.emplace_back(&item);
        });
    // Copy the table only if this frees a quarter of its capacity. A share that
    // is added to the old table meanwhile is lost and created again, with
    // credit for one more request.
    if (idle < std::max<std::size_t>(settings_.shares / 4, 1))
        return;
    boost::intrusive_ptr<hash_table> next(new hash_table(settings_.shares));
    for (auto& item : active)
        next->add(std::move(item));
    table_.publish(std::move(next));
}

void share_table::update_base(
    std::function<microtoken_rate(limit_key const&)> const& base_of,
    core::time_point now)
{
    table_.read()->for_each(
        [&](entry& item)
        {
            item.share.update_base(base_of(item.share.key()), now);
        });
}

std::vector<share_request> share_table::make_requests(core::time_point now)
{
    std::vector<share_request> requests;
    table_.read()->for_each(
        [&](entry& item)
        {
            if (auto request = item.share.make_request(now))
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
    auto const found = table_.read()->find(grant.key);
    return found && found->share.handle_grant(grant, now);
}

std::size_t share_table::size() const
{
    return table_.read()->size();
}

boost::intrusive_ptr<share_table::entry> share_table::find_or_add(
    limit_key const& key, microtoken_rate base, core::time_point now)
{
    auto const table = table_.read();
    if (auto found = table->find(key))
        return found;
    return table->add(new entry(settings_.share, key, self_, base, now));
}

} // namespace kumquatloom::limits
