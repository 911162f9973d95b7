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

/// The instance's shares of the limits for each route and organisation, with
/// the base shares that the document gives. Requests take no lock; one thread
/// at a time calls the rest.
class rate_limiter
{
public:
    /// The shares of this process.
    rate_limiter(limits::share_table_settings const& settings,
                 limits::instance_identity self);

    /// Takes the right to serve the request.
    bool try_take(admission::admitted_request const& admitted,
                  document::document const& document,
                  core::time_point now);

    /// Takes over the limits of a document.
    void update_base(document::document const& document, core::time_point now);

    /// Ends what has expired.
    void refresh(core::time_point now);

    /// Requests for shares that are too small, to send to peers.
    std::vector<limits::share_request> make_requests(core::time_point now);

    /// Answers a peer's request.
    std::optional<limits::share_grant>
    handle_request(limits::share_request const& request,
                   document::document const& document,
                   core::time_point now);

    /// Uses a peer's grant.
    void handle_grant(limits::share_grant const& grant, core::time_point now);

private:
    /// The shares.
    limits::share_table shares_;
};

} // namespace kumquatloom::entry

#endif
