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

/// Settings of the shares of an instance.
struct share_table_settings
{
    /// Most shares at one time. A share takes about 500 bytes.
    std::size_t shares = 32768;
    /// A share that was not used for this time is dropped.
    std::chrono::milliseconds idle_time{60000};
    /// Settings of each share.
    rate_share_settings share;
};

/// The shares of an instance, made when they are first needed. Threads that
/// serve requests call try_take(); one thread at a time calls the rest.
class share_table
{
public:
    /// Starts without a share.
    share_table(share_table_settings settings, instance_identity self);
    ~share_table();

    /// Takes the right to serve one request under a limit, whose base share is
    /// used if the share is new. False also if there is no room for a new
    /// share: without one the limit could not be kept. Takes no lock.
    bool
    try_take(limit_key const& key, microtoken_rate base, core::time_point now);

    /// Ends what has expired and drops idle shares. Called every few hundred
    /// milliseconds.
    void refresh(core::time_point now);

    /// Replaces the base shares, after a change of the document.
    void
    update_base(std::function<microtoken_rate(limit_key const&)> const& base_of,
                core::time_point now);

    /// One request for each share that needs more. The time must be read
    /// before the messages are sent.
    std::vector<share_request> make_requests(core::time_point now);

    /// Answers a peer's request; `base` is used if the share is new. The time
    /// must be read after the message was received.
    std::optional<share_grant> handle_request(share_request const& request,
                                              microtoken_rate base,
                                              core::time_point now);

    /// Uses a peer's grant; false if it is late or unknown.
    bool handle_grant(share_grant const& grant, core::time_point now);

    /// Number of shares.
    std::size_t size() const;

private:
    struct entry;
    class generation;

    /// The share of a key, which is added if it is new; null if there is no
    /// room.
    boost::intrusive_ptr<entry> find_or_add(limit_key const& key,
                                            microtoken_rate base,
                                            core::time_point now);

    /// Settings.
    share_table_settings settings_;
    /// This instance.
    instance_identity self_;
    /// The shares in use.
    core::rcu_cell<generation> current_;
};

} // namespace kumquatloom::limits

#endif
