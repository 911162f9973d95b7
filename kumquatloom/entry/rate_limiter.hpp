#ifndef KUMQUATLOOM_ENTRY_RATE_LIMITER_HPP
#define KUMQUATLOOM_ENTRY_RATE_LIMITER_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/limits/rate_share.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>

namespace kumquatloom::entry
{

/// The instance's shares of the limits for each route and organisation. A
/// share is made when the first request needs it, and is kept: an instance
/// sees a small part of all organisations. Requests take no lock.
class rate_limiter
{
public:
    /// The shares of this process.
    explicit rate_limiter(limits::share_member self);
    ~rate_limiter();
    rate_limiter(rate_limiter const&) = delete;
    rate_limiter& operator=(rate_limiter const&) = delete;

    /// Takes the right to serve the request.
    bool try_take(admission::admitted_request const& admitted,
                  document::document const& document,
                  core::time_point now);

    /// Takes over the limits of a document. One thread at a time.
    void rebase(document::document const& document, core::time_point now);

    /// Ends what has expired. One thread at a time, as for `each`.
    void refresh(core::time_point now);

    /// Calls `visit` with every share.
    void each(std::function<void(limits::rate_share&)> const& visit);

private:
    /// One share in a list that only grows.
    struct node
    {
        node(limits::share_key const& given,
             limits::share_member const& self,
             limits::micro_rate base,
             core::time_point now)
            : key(given)
            , share({}, given, self, base, now)
        {
        }

        /// What is limited.
        limits::share_key key;
        /// The instance's share.
        limits::rate_share share;
        /// The next share of the bucket.
        node* next = nullptr;
    };

    /// Buckets of the hash table: enough for some thousand shares.
    static constexpr std::size_t bucket_count = 4096;

    using bucket = std::atomic<node*>;

    bucket& bucket_of(limits::share_key const& key);
    static node* find(node* first, limits::share_key const& key);
    node& insert(bucket& place,
                 limits::share_key const& key,
                 limits::micro_rate base,
                 core::time_point now);

    /// This process.
    limits::share_member const self_;
    /// Heads of the lists.
    std::array<bucket, bucket_count> buckets_{};
};

} // namespace kumquatloom::entry

#endif
