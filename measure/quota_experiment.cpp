#include <kumquatloom/limits/quota_settings.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <measure/event_queue.hpp>
#include <measure/quota_experiment.hpp>
#include <measure/quota_fleet.hpp>
#include <numeric>
#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

namespace kumquatloom::measure
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t organisation_count = 82;
constexpr double highest_rate = 300;
constexpr double lowest_rate = 2;
constexpr double zipf_exponent = 1.2;
constexpr double usual_load = 1 / 1.6;
constexpr double lowered_factor = 0.25;
constexpr auto step = 2ms;
constexpr auto warm_up = 5s;
constexpr auto event_start = 20s;
constexpr auto event_end = 40s;
constexpr auto change_delay = 3s;
constexpr auto lease_interval = 500ms;
/// Part of a leased rate that follows the demand; the rest is shared equally.
constexpr double leased_part = 0.8;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Mean of the highest tenth of the values.
double worst_tenth(std::vector<double> values)
{
    constexpr std::size_t parts = 10;
    std::sort(values.begin(), values.end(), std::greater<>());
    values.resize((values.size() + parts - 1) / parts);
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(std::max<std::size_t>(values.size(), 1));
}

/// A token bucket whose burst is the rate of one second.
struct bucket
{
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    core::time_point accrued;

    bool try_take(core::time_point now)
    {
        tokens = std::min(burst, tokens + rate * seconds(now - accrued));
        accrued = now;
        if (tokens < 1)
            return false;
        tokens -= 1;
        return true;
    }
};

struct organisation
{
    double usual = 0;
    double rate = 0;
    bucket reference;
    std::vector<unsigned> instances;
    std::deque<core::time_point> window;
    double worst = 0;
    double within_quota = 0;
    double admitted = 0;
    /// Demand and bucket of each instance, for the policies with shares.
    std::vector<double> demand;
    std::vector<bucket> shares;
};

class experiment
{
public:
    explicit experiment(quota_scenario const& setup)
        : setup_(setup)
        , fleet_(fleet_parameters(setup), start(events_))
        , random_(static_cast<std::minstd_rand::result_type>(setup.seed))
        , begin_(events_.now())
    {
        if (setup.policy != "counts" && setup.policy != "equal" &&
            setup.policy != "leases")
            throw std::invalid_argument("unknown policy '" + setup.policy +
                                        "'");
        add_organisations();
        configure_all(1);
        schedule_event();
    }

    boost::json::object run()
    {
        auto const end = begin_ + setup_.duration;
        auto next_lease = begin_;
        for (auto now = begin_; now < end; now += step)
        {
            events_.run_until(now);
            if (setup_.policy == "leases" && now >= next_lease)
            {
                renew_leases();
                next_lease = now + lease_interval;
            }
            for (std::size_t i = 0; i < organisations_.size(); ++i)
            {
                std::poisson_distribution<int> count(load_of(i, now) *
                                                     seconds(step));
                for (int left = count(random_); left > 0; --left)
                    offer(i, now);
            }
        }
        return result();
    }

private:
    static quota_fleet::parameters fleet_parameters(quota_scenario const& setup)
    {
        constexpr unsigned large_fleet = 200;
        quota_fleet::parameters result;
        result.instances = setup.instances;
        result.domains = setup.instances > large_fleet ? 8 : 4;
        result.seed = setup.seed;
        return result;
    }

    static event_queue& start(event_queue& events)
    {
        events.run_until(core::time_point(100s));
        return events;
    }

    void add_organisations()
    {
        std::uniform_int_distribution<unsigned> any(0, setup_.instances - 1);
        for (std::size_t i = 0; i < organisation_count; ++i)
        {
            organisation item;
            item.rate =
                std::max(lowest_rate,
                         highest_rate / std::pow(static_cast<double>(i + 1),
                                                 zipf_exponent));
            item.usual = item.rate * usual_load;
            item.reference = {item.rate, item.rate, item.rate, begin_};
            for (unsigned k = 0; k < setup_.callers; ++k)
                item.instances.push_back(any(random_));
            item.demand.assign(setup_.instances, 0);
            double const share = item.rate / setup_.instances;
            // As with counts, half of the tolerance adds to the burst.
            double const burst =
                (item.rate + quota_.tolerance / 2) / setup_.instances;
            item.shares.assign(setup_.instances,
                               {share, std::max(burst, 1.0), burst, begin_});
            organisations_.push_back(std::move(item));
        }
    }

    std::vector<limits::quota_limit> quotas(double factor) const
    {
        std::vector<limits::quota_limit> result;
        for (std::size_t i = 0; i < organisations_.size(); ++i)
        {
            auto const rate =
                static_cast<float>(organisations_[i].rate * factor);
            result.push_back({static_cast<std::uint32_t>(i + 1), rate, rate});
        }
        return result;
    }

    void configure_all(double factor)
    {
        auto const limits = quotas(factor);
        for (unsigned i = 0; i < setup_.instances; ++i)
            fleet_.configure(i, limits);
    }

    bool in_event() const
    {
        auto const now = events_.now() - begin_;
        return now >= event_start && now < event_end;
    }

    void schedule_event()
    {
        if (setup_.event == "partition")
            fleet_.reaches = [this](unsigned from, unsigned to)
            {
                return !in_event() || fleet_.same_region(from, to);
            };
        if (setup_.event == "pause")
            for (unsigned i = 0; i < setup_.instances; i += 3)
            {
                events_.at(begin_ + event_start,
                           [this, i]
                           {
                               fleet_.pause(i);
                           });
                events_.at(begin_ + event_start + 3s,
                           [this, i]
                           {
                               fleet_.resume(i);
                           });
            }
        if (setup_.event == "restart")
            for (unsigned i = 0; i < setup_.instances; ++i)
            {
                events_.at(begin_ + event_start,
                           [this, i]
                           {
                               fleet_.stop(i, false);
                           });
                events_.at(begin_ + event_start + 300ms,
                           [this, i]
                           {
                               fleet_.start(i);
                           });
            }
        if (setup_.event == "lower")
            schedule_lower_quotas();
    }

    void schedule_lower_quotas()
    {
        std::uniform_int_distribution<int> delay(0, 3000);
        auto const limits = quotas(lowered_factor);
        for (unsigned i = 0; i < setup_.instances; ++i)
            events_.at(begin_ + event_start +
                           std::chrono::milliseconds(delay(random_)),
                       [this, i, limits]
                       {
                           fleet_.configure(i, limits);
                           for (auto& item : organisations_)
                           {
                               item.shares[i].rate *= lowered_factor;
                               item.shares[i].burst *= lowered_factor;
                           }
                       });
        // The bound applies to windows that begin after the change.
        events_.at(begin_ + event_start + change_delay,
                   [this]
                   {
                       for (auto& item : organisations_)
                       {
                           item.rate *= lowered_factor;
                           item.reference.rate = item.rate;
                           item.reference.burst = item.rate;
                           item.window.clear();
                       }
                   });
    }

    double load_of(std::size_t index, core::time_point now) const
    {
        auto const time = now - begin_;
        bool const during = time >= event_start && time < event_end;
        bool const is_hot = during && (setup_.event == "all-hot" ||
                                       (setup_.event == "hot" && index == 0));
        return organisations_[index].usual * (is_hot ? setup_.hot_factor : 1);
    }

    void renew_leases()
    {
        for (auto& item : organisations_)
        {
            double total = 0;
            for (double const demand : item.demand)
                total += demand;
            for (unsigned i = 0; i < setup_.instances; ++i)
            {
                double const fraction =
                    total == 0 ? 1.0 / setup_.instances
                               : leased_part * item.demand[i] / total +
                                     (1 - leased_part) / setup_.instances;
                item.shares[i].rate = item.rate * fraction;
                item.shares[i].burst = std::max(
                    1.0, (item.rate + quota_.tolerance / 2) * fraction);
                constexpr double remembered = 0.7;
                item.demand[i] *= remembered;
            }
        }
    }

    void offer(std::size_t index, core::time_point now)
    {
        auto& item = organisations_[index];
        std::uniform_int_distribution<unsigned> any(0, setup_.instances - 1);
        unsigned instance = any(random_);
        if (!item.instances.empty())
            instance = item.instances[instance % item.instances.size()];
        constexpr unsigned max_tries = 20;
        for (unsigned i = 0; i < max_tries && !fleet_.is_running(instance); ++i)
            instance = any(random_);
        if (!fleet_.is_running(instance))
            return;
        bool const is_within = item.reference.try_take(now);
        item.demand[instance] += 1;
        bool const was_admitted =
            setup_.policy == "counts"
                ? fleet_.take(instance, static_cast<std::uint32_t>(index + 1))
                      .admitted
                : item.shares[instance].try_take(now);
        if (now - begin_ < warm_up)
            return;
        item.within_quota += is_within ? 1 : 0;
        item.admitted += was_admitted ? 1 : 0;
        if (!was_admitted)
            return;
        item.window.push_back(now);
        while (item.window.front() <= now - quota_.window)
            item.window.pop_front();
        double const bound = (item.rate * seconds(quota_.window) + item.rate) *
                                 (1 + quota_.overage) +
                             quota_.tolerance;
        item.worst = std::max(item.worst,
                              static_cast<double>(item.window.size()) / bound);
    }

    boost::json::object result() const
    {
        double worst = 0;
        double worst_rate = 0;
        double within = 0;
        double missing = 0;
        std::vector<double> refused;
        for (auto const& item : organisations_)
        {
            if (item.worst > worst)
                worst_rate = item.rate;
            worst = std::max(worst, item.worst);
            double const item_missing =
                std::max(item.within_quota - item.admitted, 0.0);
            within += item.within_quota;
            missing += item_missing;
            refused.push_back(item_missing / std::max(item.within_quota, 1.0));
        }
        bool const is_exchanged = setup_.policy == "counts";
        double const total = seconds(setup_.duration) * setup_.instances;
        boost::json::object figures;
        figures["policy"] = setup_.policy;
        figures["event"] = setup_.event;
        figures["instances"] = setup_.instances;
        figures["worst_window"] = worst;
        figures["worst_window_rate_per_s"] = worst_rate;
        figures["refused_within_quota"] = missing / within;
        figures["refused_worst_tenth"] = worst_tenth(std::move(refused));
        figures["datagrams_per_instance_s"] =
            is_exchanged ? static_cast<double>(fleet_.datagrams) / total : 0;
        figures["bytes_per_instance_s"] =
            is_exchanged ? static_cast<double>(fleet_.bytes) / total : 0;
        return figures;
    }

    quota_scenario setup_;
    limits::quota_settings quota_;
    event_queue events_;
    quota_fleet fleet_;
    std::minstd_rand random_;
    core::time_point begin_;
    std::vector<organisation> organisations_;
};

} // namespace

boost::json::object run_quota_experiment(quota_scenario const& setup)
{
    return experiment(setup).run();
}

} // namespace kumquatloom::measure
