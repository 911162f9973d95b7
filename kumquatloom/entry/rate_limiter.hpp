#ifndef KUMQUATLOOM_ENTRY_RATE_LIMITER_HPP
#define KUMQUATLOOM_ENTRY_RATE_LIMITER_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/limits/share_table.hpp>

namespace kumquatloom::entry
{

/// The instance's shares of the limits for each route and organisation.
class rate_limiter
{
public:
    /// The shares of this process.
    explicit rate_limiter(limits::share_member self);

    /// Takes the right to serve the request. Takes no lock.
    bool try_take(admission::admitted_request const& admitted,
                  document::document const& document,
                  core::time_point now);

    /// Takes over the limits of a document. One thread at a time.
    void rebase(document::document const& document, core::time_point now);

    /// Ends what has expired. One thread at a time.
    void refresh(core::time_point now)
    {
        shares_.refresh(now);
    }

    /// The share without grants; 0 if no route limits the organisation.
    static limits::micro_rate base_of(document::document const& document,
                                      limits::share_key const& key);

    /// The shares, to exchange them with peers. One thread at a time.
    limits::share_table& shares()
    {
        return shares_;
    }

private:
    /// The shares.
    limits::share_table shares_;
};

} // namespace kumquatloom::entry

#endif
