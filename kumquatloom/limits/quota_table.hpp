#ifndef KUMQUATLOOM_LIMITS_QUOTA_TABLE_HPP
#define KUMQUATLOOM_LIMITS_QUOTA_TABLE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/quota_decision.hpp>
#include <kumquatloom/limits/quota_entry.hpp>
#include <kumquatloom/limits/quota_limit.hpp>
#include <kumquatloom/limits/quota_settings.hpp>
#include <kumquatloom/limits/quota_source.hpp>
#include <kumquatloom/limits/quota_update.hpp>
#include <kumquatloom/limits/surge_estimate.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatloom::limits
{

/// Enforces the quotas of organisations over all instances together, without a
/// coordinator. Each instance computes the same token bucket for each
/// organisation in use from its own admissions and from the cumulative counts
/// that the other sources report. Not thread-safe.
///
/// A source that is not observed may be spending its static share (the rate
/// divided by the number of instances), so that share does not accrue here and
/// neither does its share of the tokens left. An instance that observes no
/// other therefore spends only its own static share. Requests that are not yet
/// reported are estimated from recent rates. When less is left than may be
/// requested before the next reports arrive, each instance admits only a
/// fraction of its requests, so that all of them together spend what is left
/// once.
class quota_table
{
public:
    /// Identity of this instance.
    struct identity
    {
        /// Keys of this instance and of its failure domain.
        std::uint32_t instance = 0;
        std::uint32_t domain = 0;
        core::incarnation incarnation = 0;
    };

    quota_table(quota_settings const& settings,
                identity self,
                core::time_point started);

    /// Replaces the quotas. Organisations without one are not limited.
    void configure(std::vector<quota_limit> limits, core::time_point now);

    /// Whether any organisation has a quota.
    bool is_enabled() const
    {
        return !limits_.empty();
    }

    /// Adds a source before it is first heard, or changes the number of
    /// instances of a failure domain that was not heard yet.
    void add_source(quota_source_kind kind,
                    std::uint32_t key,
                    unsigned instances,
                    core::time_point now);

    /// States that add_source() was called for all announced instances. Until
    /// then, a large fleet is assumed.
    void mark_sources_complete();

    /// Takes a token for a request of an organisation. Each request of a caller
    /// takes one, regardless of retries.
    quota_decision try_take(std::uint32_t organisation, core::time_point now);

    /// Returns the token of a request that was proven not to have run.
    void give_back(std::uint32_t organisation, core::time_point now);

    /// Applies the counts that a source reports. Counts are cumulative, so lost
    /// and reordered updates only delay them. Returns whether the update is
    /// newer than the last one of the source.
    bool apply(quota_source_kind kind,
               std::uint32_t key,
               quota_update const& update,
               core::time_point now);

    /// Announces that this instance is shutting down, in the next updates.
    void mark_leaving()
    {
        leaving_ = true;
    }

    /// Re-evaluates which sources are observed and removes state that is no
    /// longer needed.
    void refresh(core::time_point now);

    /// Whether own counts changed since the last update.
    bool has_news() const
    {
        return has_news_;
    }

    /// The next update for the own failure domain, with at most `max_counts`
    /// counts.
    quota_update make_update(std::size_t max_counts, core::time_point now);

    /// The next update of the own failure domain for others.
    quota_update make_domain_update(std::size_t max_counts,
                                    core::time_point now);

    /// Number of organisations with state.
    std::size_t tracked() const
    {
        return entries_.size();
    }

    /// Part of the instances whose counts are current, including this one.
    double observed_fraction() const
    {
        return fraction_;
    }

    /// Time since the last update of the source that was silent for the
    /// longest, among those that were ever heard.
    core::duration oldest_source_age(core::time_point now) const;

    /// Requests refused and tokens returned since the start.
    std::uint64_t refused() const
    {
        return refused_;
    }
    std::uint64_t returned() const
    {
        return returned_;
    }

private:
    struct estimate
    {
        /// Requests of other sources that were probably admitted but not yet
        /// reported.
        double unknown = 0;
        /// Requests per second offered to the other sources.
        double offered_rate = 0;
    };

    quota_limit const* find_limit(std::uint32_t organisation) const;
    quota_entry* find_entry(std::uint32_t organisation, core::time_point now);
    double capacity(quota_limit const& limit) const;
    double slack(quota_limit const& limit) const;
    double total_instances() const;
    core::duration propagation_time() const;
    void accrue(quota_entry& entry, core::time_point now) const;
    void charge(quota_entry& entry, double tokens) const;
    void settle_silences(quota_entry& entry, core::time_point now) const;
    estimate estimate_others(quota_entry const& entry,
                             core::time_point now) const;
    bool is_silent(quota_source const& source, core::time_point now) const;
    bool is_observed(quota_source const& source, core::time_point now) const;
    void update_fraction(core::time_point now);
    void start_incarnation(quota_source& source,
                           std::uint32_t key,
                           quota_update const& update,
                           core::time_point now);
    void apply_count(quota_source& source,
                     std::uint32_t key,
                     quota_count const& count,
                     core::time_point now);
    quota_update make_header(quota_source_kind unheard_kind,
                             core::time_point now);
    bool keeps(quota_source const& source, core::time_point now) const;

    quota_settings settings_;
    identity self_;
    core::time_point started_;
    /// Quotas by organisation key.
    std::vector<quota_limit> limits_;
    /// Organisations in use.
    std::map<std::uint32_t, quota_entry> entries_;
    std::unordered_map<std::uint32_t, quota_source> sources_;
    bool sources_complete_ = false;
    bool leaving_ = false;
    bool has_domains_ = false;
    /// Instances of all sources and of this one, and the part of them that is
    /// observed.
    double instances_ = 1;
    double fraction_ = 1;
    /// Earliest time at which a source may stop being observed.
    core::time_point next_expiry_;
    core::time_point next_cleanup_;
    bool has_news_ = false;
    std::uint32_t sequence_ = 0;
    /// Last organisation that was repeated although its counts had not changed.
    std::uint32_t repeat_cursor_ = 0;
    std::uint32_t domain_repeat_cursor_ = 0;
    std::uint32_t unheard_cursor_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t returned_ = 0;
    /// Load of all organisations with a quota.
    surge_estimate surge_;
    std::minstd_rand random_;
};

/// The key of an organisation, instance address or failure domain in updates.
/// Two names with the same key share a quota, so a collision refuses too much
/// but never admits too much.
std::uint32_t quota_key(std::string_view name);

} // namespace kumquatloom::limits

#endif
