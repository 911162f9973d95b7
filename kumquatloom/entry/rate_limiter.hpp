#ifndef KUMQUATLOOM_ENTRY_RATE_LIMITER_HPP
#define KUMQUATLOOM_ENTRY_RATE_LIMITER_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/limits/share_messages.hpp>
#include <kumquatloom/limits/share_table.hpp>

#include <optional>
#include <vector>

namespace kumquatloom::entry
{

/// Enforces rate limits by route and organisation. Each instance has a share of
/// every limit, based on the document, and can request more from its peers.
/// try_take() is lock-free; one thread at a time calls the rest.
class rate_limiter
{
public:
    /// Starts without shares.
    rate_limiter(limits::share_table_settings const& settings,
                 limits::instance_identity self);

    /// Takes a token for the request; false if the limit is reached.
    bool try_take(admission::admitted_request const& admitted,
                  document::document const& document,
                  core::time_point now);

    /// Applies the limits of a new document.
    void update_base(document::document const& document, core::time_point now);

    /// Removes expired grants and idle shares.
    void refresh(core::time_point now);

    /// Share requests to send to peers, for shares that are too small.
    std::vector<limits::share_request> make_requests(core::time_point now);

    /// Handles a peer's share request; empty if nothing is granted.
    std::optional<limits::share_grant>
    handle_request(limits::share_request const& request,
                   document::document const& document,
                   core::time_point now);

    /// Applies a grant from a peer.
    void handle_grant(limits::share_grant const& grant, core::time_point now);

private:
    limits::share_table shares_;
};

} // namespace kumquatloom::entry

#endif
