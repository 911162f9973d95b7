#ifndef KUMQUATLOOM_LIMITS_QUOTA_ENTRY_HPP
#define KUMQUATLOOM_LIMITS_QUOTA_ENTRY_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/decaying_rate.hpp>
#include <kumquatloom/limits/quota_limit.hpp>

#include <cstdint>
#include <vector>

namespace kumquatloom::limits
{

/// Last known use of a quota at a source.
struct quota_source_use
{
    /// Key of the source.
    std::uint32_t source = 0;
    std::uint32_t admitted = 0;
    std::uint16_t offered = 0;
    /// The source's epoch at the last count.
    std::uint32_t epoch = 0;
    /// Requests of the source's last silence for which tokens were withheld,
    /// and until when such requests may be reported.
    double prepaid = 0;
    core::time_point prepaid_until;
    decaying_rate admitted_rate;
    decaying_rate offered_rate;
};

/// State of one organisation's quota.
struct quota_entry
{
    quota_limit limit;
    /// Tokens left as far as this instance knows; negative after an overshoot,
    /// which later requests make up for.
    double tokens = 0;
    /// Time up to which the tokens have accrued.
    core::time_point accrued;
    /// Time of the last request at any source.
    core::time_point last_used;
    /// Requests admitted by this instance, and how many of them returned their
    /// token, which the next ones use.
    std::uint32_t admitted = 0;
    std::uint32_t returned = 0;
    std::uint16_t offered = 0;
    decaying_rate offered_rate;
    /// Rate of offered requests when the last update was sent.
    double reported_rate = 0;
    /// Own requests that the other instances may not know of yet; decays.
    double unreported = 0;
    core::time_point unreported_at;
    /// Fraction of a request that was not yet admitted while requests are
    /// admitted with a probability below one.
    double carry = 0;
    /// Requests admitted and offered in the own failure domain, including this
    /// instance.
    std::uint32_t domain_admitted = 0;
    std::uint16_t domain_offered = 0;
    /// Own and domain counts in the last updates, and how often each is still
    /// repeated.
    std::uint32_t sent_admitted = 0;
    std::uint16_t sent_offered = 0;
    std::uint32_t sent_domain_admitted = 0;
    std::uint16_t sent_domain_offered = 0;
    unsigned repeats = 0;
    unsigned domain_repeats = 0;
    std::vector<quota_source_use> uses;
};

} // namespace kumquatloom::limits

#endif
