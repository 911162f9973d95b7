#ifndef KUMQUATLOOM_ADMISSION_REVOCATION_RULE_HPP
#define KUMQUATLOOM_ADMISSION_REVOCATION_RULE_HPP

#include <kumquatloom/core/clock.hpp>

#include <atomic>
#include <chrono>
#include <optional>

namespace kumquatloom::admission
{

/// Decides whether requests with a credential may be served although its
/// removal may not have been received; without a limit they are. All functions
/// but the one that sets the limit are thread-safe.
class revocation_rule
{
public:
    /// Refuses requests with a credential once the document was last confirmed
    /// to be current more than `max_age` ago.
    void limit_age(std::chrono::milliseconds max_age)
    {
        max_age_ = max_age;
    }

    /// Records that the document in force was current at a time, which must not
    /// be earlier than that of the previous call.
    void confirm(core::time_point at)
    {
        confirmed_at_.store(at.time_since_epoch().count(),
                            std::memory_order_relaxed);
    }

    /// Whether requests with a credential may be served.
    bool permits_credentials(core::time_point now) const
    {
        if (!max_age_)
            return true;
        core::time_point const confirmed_at{
            core::duration(confirmed_at_.load(std::memory_order_relaxed))};
        return now - confirmed_at <= *max_age_;
    }

private:
    /// Maximum age of the last confirmation; nothing for no limit.
    std::optional<std::chrono::milliseconds> max_age_;
    /// Time at which the document was last known to be current, since the
    /// clock's epoch.
    std::atomic<core::duration::rep> confirmed_at_{0};
};

} // namespace kumquatloom::admission

#endif
