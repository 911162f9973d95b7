#ifndef KUMQUATLOOM_LIMITS_SHARE_TABLE_HPP
#define KUMQUATLOOM_LIMITS_SHARE_TABLE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/rcu_cell.hpp>
#include <kumquatloom/limits/rate_share.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace kumquatloom::limits
{

struct share_table_settings
{
    /// Capacity of the table. A share takes about 500 bytes.
    std::size_t shares = 32768;
    /// A share without requests for this time may be dropped.
    std::chrono::milliseconds idle_timeout{60000};
    rate_share_settings share;
};

/// The rate shares of an instance, created when they are first needed. Request
/// threads may call try_take() concurrently. All other member functions must be
/// called by one thread at a time.
class share_table
{
public:
    share_table(share_table_settings settings, instance_identity self);
    ~share_table();

    /// Admits one request under a limit. `base` is the base share for a share
    /// that does not exist yet. Also returns false if the table is full, since
    /// the limit cannot be enforced without a share. Lock-free.
    bool
    try_take(limit_key const& key, microtoken_rate base, core::time_point now);

    /// Ends expired leases and drops idle shares. Must be called every few
    /// hundred milliseconds.
    void refresh(core::time_point now);

    /// Replaces the base shares after a change of the document.
    void
    update_base(std::function<microtoken_rate(limit_key const&)> const& base_of,
                core::time_point now);

    /// Returns one request for each share that is too small for its demand.
    /// `now` must be read before the messages are sent.
    std::vector<share_request> make_requests(core::time_point now);

    /// Handles a peer's request and returns the grant to send, if any. `base`
    /// is the base share for a share that does not exist yet. `now` must be
    /// read after the message was received.
    std::optional<share_grant> handle_request(share_request const& request,
                                              microtoken_rate base,
                                              core::time_point now);

    /// Applies a peer's grant. Returns false if its lease is over or it matches
    /// no request.
    bool handle_grant(share_grant const& grant, core::time_point now);

    std::size_t size() const;

private:
    struct entry;
    class hash_table;

    /// Finds the share of a key or adds it; null if the table is full.
    boost::intrusive_ptr<entry> find_or_add(limit_key const& key,
                                            microtoken_rate base,
                                            core::time_point now);

    share_table_settings settings_;
    instance_identity self_;
    core::rcu_cell<hash_table> table_;
};

} // namespace kumquatloom::limits

#endif
