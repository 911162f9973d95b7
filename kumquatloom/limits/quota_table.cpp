#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/limits/quota_table.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace kumquatloom::limits
{

namespace
{

using std::chrono::milliseconds;

/// Silence after which the counts of a neighbour are no longer current: four
/// heartbeats, as for the list of neighbours.
constexpr milliseconds instance_silence{1000};
/// The same for another failure domain: four reports across regions and a
/// change of the reporting instance.
constexpr milliseconds domain_silence{2000};
/// Silence of the reporting instance after which reports of another instance of
/// its domain are accepted.
constexpr milliseconds reporter_silence{800};
/// Time for which a crashed source may still be spending its static share
/// somewhere out of reach. Longer than a partition is expected to last, because
/// both sides would otherwise spend the whole quota.
constexpr milliseconds source_retention{600000};
/// Time for which an announced instance that was never heard counts.
constexpr milliseconds unheard_retention{10000};
/// Time after the first update of a source in which its other counts arrive.
constexpr milliseconds baseline_time{5000};
/// Time after a silence in which the counts of that time arrive.
constexpr milliseconds catch_up_time{500};
/// Time until the counts of an instance are known to all others: half a
/// heartbeat interval in a domain, and a report across regions in addition.
constexpr milliseconds instance_propagation{150};
constexpr milliseconds domain_propagation{400};
/// Mean age of the counts in an update when it arrives.
constexpr milliseconds instance_lag{30};
constexpr milliseconds domain_lag{120};
/// Longest time for which spending is extrapolated.
constexpr milliseconds max_extrapolation{2000};
/// Idle time after which own counts start again at zero, and the longer one
/// after which an organisation is forgotten. Receivers must not forget a count
/// that its sender continues.
constexpr milliseconds idle_reset{30000};
constexpr milliseconds idle_removal{60000};
constexpr milliseconds cleanup_interval{1000};
/// Bound of the memory, about 4 MB with 40 sources.
constexpr std::size_t max_entries = 4096;
/// Neighbours and other failure domains, several times the expected number.
constexpr std::size_t max_sources = 2048;
/// Instances assumed before the announced ones are known.
constexpr double assumed_instances = 128;
/// Updates that contain a change, so that the loss of a datagram delays it by
/// one interval.
constexpr unsigned repeats_per_change = 3;
/// Unchanged counts that each update repeats in turn.
constexpr std::size_t repeated_counts = 4;
constexpr std::size_t max_unheard = 16;
/// Part of the tolerance that adds to the burst. The rest and the overage cover
/// requests that are admitted before the counts of others arrive.
constexpr double tolerance_in_burst = 0.5;
/// Part of an instance's allowance that follows its share of the load. The rest
/// is the same for all, for load that has just moved.
constexpr double load_share = 0.7;
/// Instances rarely all use their allowance at the same moment.
constexpr double allowance_factor = 2;
constexpr double min_allowance = 2;
/// Bounds of the suggested retry delay. At the whole rate of the quota it may
/// be longer; sources that are not observed lengthen it only up to the bound,
/// because they may return at any time.
constexpr double min_retry_s = 0.1;
constexpr double max_retry_s = 10;
/// Bounds what rates of almost zero lead to.
constexpr double longest_retry_s = 86400;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// How often a token that became free is requested, which spreads the retries.
constexpr double max_spread = 4;

} // namespace

quota_table::quota_table(quota_settings const& settings,
                         identity self,
                         core::time_point started)
    : settings_(settings)
    , self_(self)
    , started_(started)
    , next_expiry_(started)
    , next_cleanup_(started + cleanup_interval)
    , random_(static_cast<std::minstd_rand::result_type>(
          self.incarnation ^ (std::uint64_t{self.instance} << 16)))
{
    update_fraction(started);
}

void quota_table::configure(std::vector<quota_limit> limits,
                            core::time_point now)
{
    std::erase_if(limits,
                  [](quota_limit const& item)
                  {
                      return item.rate_per_s <= 0;
                  });
    // Of two organisations with the same key, the lower quota applies to both.
    std::sort(limits.begin(),
              limits.end(),
              [](quota_limit const& left, quota_limit const& right)
              {
                  return std::pair(left.organisation, left.rate_per_s) <
                         std::pair(right.organisation, right.rate_per_s);
              });
    auto const end =
        std::unique(limits.begin(),
                    limits.end(),
                    [](quota_limit const& left, quota_limit const& right)
                    {
                        return left.organisation == right.organisation;
                    });
    limits.erase(end, limits.end());
    limits.shrink_to_fit();
    for (auto& [organisation, entry] : entries_)
        accrue(entry, now);
    limits_ = std::move(limits);
    std::erase_if(entries_,
                  [this](auto const& item)
                  {
                      return find_limit(item.first) == nullptr;
                  });
    for (auto& [organisation, entry] : entries_)
    {
        entry.limit = *find_limit(organisation);
        entry.tokens = std::min(entry.tokens, capacity(entry.limit));
    }
}

void quota_table::add_source(quota_source_kind kind,
                             std::uint32_t key,
                             unsigned instances,
                             core::time_point now)
{
    if (key ==
        (kind == quota_source_kind::domain ? self_.domain : self_.instance))
        return;
    if (sources_.size() >= max_sources && !sources_.contains(key))
        return;
    auto& source = sources_[key];
    bool const is_new = source.added == core::time_point();
    if (source.incarnation != 0 || (!is_new && source.instances == instances))
        return;
    if (is_new)
    {
        source.added = now;
        source.unobserved_since = now;
    }
    source.kind = kind;
    source.instances = instances;
    update_fraction(now);
}

void quota_table::mark_sources_complete()
{
    sources_complete_ = true;
    next_expiry_ = started_;
}

quota_decision quota_table::try_take(std::uint32_t organisation,
                                     core::time_point now)
{
    if (now >= next_expiry_)
        refresh(now);
    auto* const found = find_entry(organisation, now);
    if (found == nullptr)
        return {};
    auto& entry = *found;
    accrue(entry, now);
    settle_silences(entry, now);
    entry.last_used = now;
    entry.offered_rate.add(1, now);
    ++entry.offered;
    ++entry.domain_offered;
    has_news_ = true;
    auto const others = estimate_others(entry, now);
    auto const horizon = seconds(propagation_time());
    double const surge = core::is_mutated(core::mutation::ignore_rise_of_load)
                             ? 1
                             : surge_.factor(now);
    double const available = entry.tokens - others.unknown * surge;
    // Requests that may compete for the same tokens before any instance hears
    // of the others' requests.
    surge_.add_own(1, now);
    double const competing = 1 + others.offered_rate * surge * horizon;
    entry.unreported *= std::exp(-seconds(now - entry.unreported_at) / horizon);
    entry.unreported_at = now;
    bool admitted =
        available >= competing ||
        (core::is_mutated(core::mutation::spend_last_tokens_everywhere) &&
         entry.tokens > 0);
    if (!admitted && available > 0)
    {
        entry.carry += available / competing;
        admitted = entry.carry >= 1;
        if (admitted)
            entry.carry -= 1;
    }
    if (admitted && !sources_.empty())
    {
        // Bounds what an instance spends before the others know of it, in case
        // the load of all of them rises at the same moment.
        double const known = entry.reported_rate + others.offered_rate;
        double const share = known > 0
                                 ? load_share * entry.reported_rate / known +
                                       (1 - load_share) / instances_
                                 : 1 / instances_;
        double const allowance =
            std::max(min_allowance,
                     allowance_factor * share *
                         (std::max(available, 0.0) + slack(entry.limit)));
        admitted = entry.unreported + 1 <= allowance;
    }
    if (admitted)
    {
        entry.tokens -= 1;
        entry.unreported += 1;
        if (entry.returned != 0)
            --entry.returned;
        else
        {
            ++entry.admitted;
            ++entry.domain_admitted;
        }
        return {};
    }
    ++refused_;
    double const rate = entry.limit.rate_per_s * fraction_;
    double const missing = std::max(competing - available, 1.0);
    double const wait = std::clamp(missing / rate,
                                   min_retry_s,
                                   std::clamp(missing / entry.limit.rate_per_s,
                                              max_retry_s,
                                              longest_retry_s));
    double const offered = others.offered_rate + entry.offered_rate.value(now);
    std::uniform_real_distribution<double> spread(
        1, 1 + std::clamp(offered / rate, 0.5, max_spread));
    return {false,
            std::chrono::duration_cast<core::duration>(
                std::chrono::duration<double>(wait * spread(random_)))};
}

void quota_table::give_back(std::uint32_t organisation, core::time_point now)
{
    auto const position = entries_.find(organisation);
    if (position == entries_.end() ||
        core::is_mutated(core::mutation::keep_token_of_unrun_request))
        return;
    auto& entry = position->second;
    accrue(entry, now);
    // The count is cumulative and never decreases, so the next request uses the
    // returned token instead of counting.
    ++entry.returned;
    ++returned_;
    entry.tokens =
        std::min(entry.tokens + 1, fraction_ * capacity(entry.limit));
    entry.unreported = std::max(entry.unreported - 1, 0.0);
}

bool quota_table::apply(quota_source_kind kind,
                        std::uint32_t key,
                        quota_update const& update,
                        core::time_point now)
{
    bool const is_domain = kind == quota_source_kind::domain;
    if (key == (is_domain ? self_.domain : self_.instance))
        return false;
    if (now >= next_expiry_)
        refresh(now);
    add_source(kind, key, update.instances, now);
    auto const position = sources_.find(key);
    if (position == sources_.end())
        return false;
    auto& source = position->second;
    if (update.incarnation == source.incarnation)
    {
        if (update.sequence <= source.sequence)
            return false;
    }
    else
    {
        // Reordered datagrams of an earlier process, or reports of a second
        // instance of the domain, don't arrive after a long silence.
        auto const silence = is_domain ? reporter_silence : instance_silence;
        if ((is_domain || update.incarnation < source.incarnation) &&
            source.incarnation != 0 && !source.leaving &&
            now - source.last_heard < silence)
            return false;
        start_incarnation(source, key, update, now);
    }
    source.sequence = update.sequence;
    auto const gap = now - source.last_heard;
    if (gap >= instance_silence)
    {
        source.silence = gap;
        source.silence_until = now + catch_up_time;
    }
    source.last_heard = now;
    source.leaving = update.leaving;
    auto const own_key = is_domain ? self_.domain : self_.instance;
    if (std::find(update.unheard.begin(), update.unheard.end(), own_key) !=
        update.unheard.end())
        source.last_deaf = now;
    else
        source.last_deaf = core::time_point();
    unsigned const instances = std::max<unsigned>(update.instances, 1);
    unsigned const unobserved =
        std::min<unsigned>(update.unobserved, instances);
    if (source.instances != instances || source.unobserved != unobserved ||
        source.observed != is_observed(source, now))
    {
        source.instances = instances;
        source.unobserved = unobserved;
        update_fraction(now);
    }
    // The static share of a source that does not observe this instance is
    // withheld, so its counts wait until it does.
    if (!source.observed)
        return true;
    for (auto const& count : update.counts)
        apply_count(source, key, count, now);
    return true;
}

void quota_table::start_incarnation(quota_source& source,
                                    std::uint32_t key,
                                    quota_update const& update,
                                    core::time_point now)
{
    // Part of the counts is from before this process started, or was reported
    // by an earlier sender. What is older than a window no longer matters.
    auto const since = source.incarnation != 0 ? source.last_heard : started_;
    auto const unknown =
        std::min<core::duration>(now - since, settings_.window);
    double const uptime = std::max(seconds(update.uptime), 0.001);
    source.unaccounted_fraction = std::min(1.0, seconds(unknown) / uptime);
    source.incarnation = update.incarnation;
    source.baseline_until = now + baseline_time;
    for (auto& [organisation, entry] : entries_)
        std::erase_if(entry.uses,
                      [key](quota_source_use const& use)
                      {
                          return use.source == key;
                      });
}

void quota_table::apply_count(quota_source& source,
                              std::uint32_t key,
                              quota_count const& count,
                              core::time_point now)
{
    auto* const entry = find_entry(count.organisation, now);
    if (entry == nullptr)
        return;
    accrue(*entry, now);
    auto use = std::find_if(entry->uses.begin(),
                            entry->uses.end(),
                            [key](quota_source_use const& item)
                            {
                                return item.source == key;
                            });
    double admitted = count.admitted;
    double offered = 0;
    bool const is_new = use == entry->uses.end();
    if (is_new)
    {
        if (now < source.baseline_until)
            admitted *= source.unaccounted_fraction;
        offered = admitted;
        use = entry->uses.insert(use, quota_source_use());
        use->source = key;
        use->epoch = source.epoch;
    }
    else
    {
        // A lower count means that the sender began to count again after the
        // organisation had been idle.
        if (count.admitted >= use->admitted)
            admitted -= use->admitted;
        offered = static_cast<std::uint16_t>(count.offered - use->offered);
        if (count.admitted < use->admitted)
            offered = count.offered;
    }
    bool const has_changed = admitted > 0 || offered > 0;
    use->admitted = count.admitted;
    use->offered = count.offered;
    if (use->epoch != source.epoch)
    {
        use->epoch = source.epoch;
        // The static share was already withheld while the source was silent.
        use->prepaid = entry->limit.rate_per_s *
                       seconds(source.unobserved_time) * source.instances /
                       instances_;
        use->prepaid_until = now + catch_up_time;
    }
    double const charged = std::max(admitted - use->prepaid, 0.0);
    use->prepaid -= admitted - charged;
    if (!has_changed)
        return;
    entry->last_used = now;
    // Counts of a longer time don't state the current rate.
    double const recent =
        now < source.silence_until
            ? seconds(instance_silence) / seconds(source.silence)
            : 1;
    use->admitted_rate.add(admitted * recent, now);
    use->offered_rate.add(offered * recent, now);
    surge_.add_reported(offered * recent, now);
    if (!core::is_mutated(core::mutation::ignore_reported_counts))
        charge(*entry, charged);
    if (source.kind == quota_source_kind::instance)
    {
        entry->domain_admitted += static_cast<std::uint32_t>(admitted);
        entry->domain_offered = static_cast<std::uint16_t>(
            entry->domain_offered + static_cast<std::uint32_t>(offered));
    }
}

void quota_table::refresh(core::time_point now)
{
    std::erase_if(sources_,
                  [&](auto const& item)
                  {
                      return !keeps(item.second, now);
                  });
    update_fraction(now);
    if (now < next_cleanup_)
        return;
    next_cleanup_ = now + cleanup_interval;
    for (auto& [organisation, entry] : entries_)
        if (now - entry.last_used > idle_reset)
        {
            entry.admitted = entry.returned = entry.domain_admitted = 0;
            entry.offered = entry.domain_offered = 0;
            entry.sent_admitted = entry.sent_domain_admitted = 0;
            entry.sent_offered = entry.sent_domain_offered = 0;
            entry.repeats = entry.domain_repeats = 0;
        }
    std::erase_if(entries_,
                  [&](auto const& item)
                  {
                      return now - item.second.last_used > idle_removal;
                  });
}

bool quota_table::keeps(quota_source const& source, core::time_point now) const
{
    if (source.incarnation == 0)
        return now - source.added < unheard_retention || 2 * fraction_ < 1;
    // An announced stop returns the share at once.
    if (source.kind == quota_source_kind::instance && source.leaving &&
        is_silent(source, now))
        return false;
    return now - source.last_heard < source_retention;
}

quota_update quota_table::make_header(quota_source_kind unheard_kind,
                                      core::time_point now)
{
    quota_update update;
    update.incarnation = self_.incarnation;
    update.sequence = ++sequence_;
    update.leaving = leaving_;
    update.uptime = std::chrono::duration_cast<milliseconds>(now - started_);
    std::vector<std::uint32_t> silent;
    for (auto const& [key, source] : sources_)
        if (source.kind == unheard_kind && is_silent(source, now) &&
            (source.incarnation != 0 || now - source.added < unheard_retention))
            silent.push_back(key);
    // A longer list is sent in turns.
    std::sort(silent.begin(), silent.end());
    if (silent.size() > max_unheard)
    {
        auto const start =
            std::upper_bound(silent.begin(), silent.end(), unheard_cursor_);
        std::rotate(silent.begin(), start, silent.end());
        silent.resize(max_unheard);
        unheard_cursor_ = silent.back();
    }
    update.unheard = std::move(silent);
    return update;
}

namespace
{

/// Selects the counts of an update: those that changed, heaviest first, then
/// some of the others in turn.
template <typename Entries, typename Counters>
std::vector<quota_count> select_counts(Entries& entries,
                                       std::size_t max_counts,
                                       std::uint32_t& cursor,
                                       Counters const& counters)
{
    struct candidate
    {
        std::uint32_t change;
        std::uint32_t organisation;
    };
    std::vector<candidate> changed;
    for (auto& [organisation, entry] : entries)
    {
        auto const view = counters(entry);
        std::uint32_t const change =
            (view.admitted - view.sent_admitted) +
            static_cast<std::uint16_t>(view.offered - view.sent_offered);
        if (change != 0)
            view.repeats = repeats_per_change;
        if (view.repeats != 0)
            changed.push_back({change, organisation});
    }
    std::sort(changed.begin(),
              changed.end(),
              [](candidate const& left, candidate const& right)
              {
                  return left.change > right.change;
              });
    if (changed.size() > max_counts)
        changed.resize(max_counts);
    std::vector<quota_count> result;
    auto const add = [&](std::uint32_t organisation)
    {
        auto const view = counters(entries.at(organisation));
        view.sent_admitted = view.admitted;
        view.sent_offered = view.offered;
        if (view.repeats != 0)
            --view.repeats;
        result.push_back({organisation, view.admitted, view.offered});
    };
    for (auto const& item : changed)
        add(item.organisation);
    auto position = entries.upper_bound(cursor);
    for (std::size_t count = 0;
         count < std::min(repeated_counts, entries.size()) &&
         result.size() < max_counts;
         ++count)
    {
        if (position == entries.end())
            position = entries.begin();
        cursor = position->first;
        auto const view = counters(position->second);
        if (view.repeats == 0 && view.admitted != 0)
            result.push_back({cursor, view.admitted, view.offered});
        ++position;
    }
    return result;
}

/// The counters of an entry that an update reports.
struct counter_view
{
    std::uint32_t const& admitted;
    std::uint16_t const& offered;
    std::uint32_t& sent_admitted;
    std::uint16_t& sent_offered;
    unsigned& repeats;
};

} // namespace

quota_update quota_table::make_update(std::size_t max_counts,
                                      core::time_point now)
{
    auto update = make_header(quota_source_kind::instance, now);
    update.counts = select_counts(entries_,
                                  max_counts,
                                  repeat_cursor_,
                                  [](quota_entry& entry)
                                  {
                                      return counter_view{entry.admitted,
                                                          entry.offered,
                                                          entry.sent_admitted,
                                                          entry.sent_offered,
                                                          entry.repeats};
                                  });
    has_news_ = false;
    for (auto& [organisation, entry] : entries_)
    {
        entry.reported_rate = entry.offered_rate.value(now);
        has_news_ = has_news_ || entry.sent_admitted != entry.admitted;
    }
    return update;
}

quota_update quota_table::make_domain_update(std::size_t max_counts,
                                             core::time_point now)
{
    auto update = make_header(quota_source_kind::domain, now);
    unsigned instances = 1;
    unsigned unobserved = 0;
    for (auto const& [key, source] : sources_)
        if (source.kind == quota_source_kind::instance)
        {
            instances += source.instances;
            unobserved += source.observed ? 0 : source.instances;
        }
    constexpr unsigned max_instances = 0xFFFF;
    update.instances =
        static_cast<std::uint16_t>(std::min(instances, max_instances));
    update.unobserved =
        static_cast<std::uint16_t>(std::min(unobserved, max_instances));
    update.counts =
        select_counts(entries_,
                      max_counts,
                      domain_repeat_cursor_,
                      [](quota_entry& entry)
                      {
                          return counter_view{entry.domain_admitted,
                                              entry.domain_offered,
                                              entry.sent_domain_admitted,
                                              entry.sent_domain_offered,
                                              entry.domain_repeats};
                      });
    return update;
}

core::duration quota_table::oldest_source_age(core::time_point now) const
{
    core::duration oldest{0};
    for (auto const& [key, source] : sources_)
        if (source.incarnation != 0)
            oldest = std::max(oldest, now - source.last_heard);
    return oldest;
}

quota_limit const* quota_table::find_limit(std::uint32_t organisation) const
{
    auto const position =
        std::lower_bound(limits_.begin(),
                         limits_.end(),
                         organisation,
                         [](quota_limit const& item, std::uint32_t key)
                         {
                             return item.organisation < key;
                         });
    return position != limits_.end() && position->organisation == organisation
               ? &*position
               : nullptr;
}

quota_entry* quota_table::find_entry(std::uint32_t organisation,
                                     core::time_point now)
{
    auto const position = entries_.find(organisation);
    if (position != entries_.end())
        return &position->second;
    auto const* const limit = find_limit(organisation);
    if (limit == nullptr)
        return nullptr;
    if (entries_.size() >= max_entries)
        entries_.erase(std::min_element(entries_.begin(),
                                        entries_.end(),
                                        [](auto const& left, auto const& right)
                                        {
                                            return left.second.last_used <
                                                   right.second.last_used;
                                        }));
    auto& entry = entries_[organisation];
    entry.limit = *limit;
    entry.last_used = now;
    entry.unreported_at = now;
    // What was spent before this process started is unknown, so the bucket was
    // empty then.
    entry.accrued = started_;
    accrue(entry, now);
    if (core::is_mutated(core::mutation::start_with_full_quota))
        entry.tokens = capacity(entry.limit);
    std::uniform_real_distribution<double> phase(0, 1);
    entry.carry = phase(random_);
    return &entry;
}

double quota_table::capacity(quota_limit const& limit) const
{
    return std::max(1.0,
                    limit.burst + tolerance_in_burst * settings_.tolerance);
}

double quota_table::slack(quota_limit const& limit) const
{
    return (1 - tolerance_in_burst) * settings_.tolerance +
           settings_.overage *
               (limit.rate_per_s * seconds(settings_.window) + limit.burst);
}

core::duration quota_table::propagation_time() const
{
    return has_domains_ ? domain_propagation : instance_propagation;
}

void quota_table::accrue(quota_entry& entry, core::time_point now) const
{
    if (now <= entry.accrued)
        return;
    // Sources that are not observed may be keeping their part of the burst.
    entry.tokens = std::min(fraction_ * capacity(entry.limit),
                            entry.tokens + entry.limit.rate_per_s * fraction_ *
                                               seconds(now - entry.accrued));
    entry.accrued = now;
}

void quota_table::charge(quota_entry& entry, double tokens) const
{
    // A debt beyond one window would refuse requests for an overshoot that no
    // window contains any more.
    double const lowest = -entry.limit.rate_per_s * seconds(settings_.window) -
                          slack(entry.limit);
    entry.tokens =
        std::max(entry.tokens - tokens, std::min(lowest, entry.tokens));
}

void quota_table::settle_silences(quota_entry& entry,
                                  core::time_point now) const
{
    for (auto& use : entry.uses)
    {
        if (use.prepaid <= 0 || now < use.prepaid_until)
            continue;
        // The source has spent less than its static share. At most its part of
        // the burst is left of the rest.
        auto const position = sources_.find(use.source);
        if (position != sources_.end())
            entry.tokens +=
                std::min(use.prepaid,
                         capacity(entry.limit) * position->second.instances /
                             instances_);
        use.prepaid = 0;
    }
    entry.tokens = std::min(entry.tokens, fraction_ * capacity(entry.limit));
}

quota_table::estimate quota_table::estimate_others(quota_entry const& entry,
                                                   core::time_point now) const
{
    estimate result;
    for (auto const& use : entry.uses)
    {
        auto const position = sources_.find(use.source);
        if (position == sources_.end() || !position->second.observed)
            continue;
        auto const& source = position->second;
        core::duration const lag = source.kind == quota_source_kind::domain
                                       ? domain_lag
                                       : instance_lag;
        auto const age = std::min<core::duration>(now - source.last_heard + lag,
                                                  max_extrapolation);
        result.unknown += use.admitted_rate.value(now) * seconds(age);
        result.offered_rate += use.offered_rate.value(now);
    }
    return result;
}

bool quota_table::is_silent(quota_source const& source,
                            core::time_point now) const
{
    auto const limit = source.kind == quota_source_kind::domain
                           ? domain_silence
                           : instance_silence;
    return source.incarnation == 0 || now - source.last_heard >= limit;
}

bool quota_table::is_observed(quota_source const& source,
                              core::time_point now) const
{
    auto const limit = source.kind == quota_source_kind::domain
                           ? domain_silence
                           : instance_silence;
    if (core::is_mutated(core::mutation::ignore_silent_source))
        return true;
    bool const is_deaf = source.last_deaf != core::time_point() &&
                         now - source.last_deaf < limit;
    return !is_silent(source, now) && !is_deaf;
}

void quota_table::update_fraction(core::time_point now)
{
    double total = 1;
    double observed = 1;
    has_domains_ = false;
    // After a pause of this process, sources expired at an earlier time.
    auto const lost_at = std::min(now, next_expiry_);
    next_expiry_ = now + instance_silence;
    for (auto& [key, source] : sources_)
    {
        bool const is_current = is_observed(source, now);
        if (is_current && !source.observed)
        {
            source.unobserved_time = now - source.unobserved_since;
            ++source.epoch;
        }
        if (!is_current && source.observed)
            source.unobserved_since = lost_at;
        source.observed = is_current;
        has_domains_ = has_domains_ || source.kind == quota_source_kind::domain;
        total += source.instances;
        if (!is_current)
            continue;
        observed += source.instances - source.unobserved;
        auto const limit = source.kind == quota_source_kind::domain
                               ? domain_silence
                               : instance_silence;
        next_expiry_ =
            std::min<core::time_point>(next_expiry_, source.last_heard + limit);
    }
    if (!sources_complete_)
        total = std::max(total, assumed_instances);
    double const fraction = observed / total;
    instances_ = total;
    if (fraction == fraction_)
        return;
    for (auto& [organisation, entry] : entries_)
    {
        accrue(entry, fraction < fraction_ ? lost_at : now);
        // Each side of a partition keeps its part of the tokens left.
        if (fraction < fraction_ && entry.tokens > 0)
            entry.tokens *= fraction / fraction_;
    }
    fraction_ = fraction;
}

std::uint32_t quota_key(std::string_view name)
{
    return static_cast<std::uint32_t>(core::stable_hash(name));
}

} // namespace kumquatloom::limits
