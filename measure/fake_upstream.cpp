#include <algorithm>
#include <chrono>
#include <cmath>
#include <measure/fake_upstream.hpp>
#include <utility>

namespace kumquatloom::measure
{

namespace
{

using namespace std::chrono_literals;

/// Waiting attempts per slot before an upstream sheds load.
constexpr unsigned queue_per_slot = 2;
/// Faults: how much slower, and which fraction fails.
constexpr double slow_factor = 8;
constexpr double cold_factor = 4;
/// A replaced upstream is warm after this time; its first request comes when
/// the instances have read the list.
constexpr core::duration cold_time = 10s;
constexpr double error_fraction = 0.5;
constexpr double wrong_fraction = 0.3;
/// Errors come quickly, as those of a broken process do.
constexpr double error_time_factor = 0.1;
/// A flapping upstream changes after this time.
constexpr core::duration flap_time = 10s;

} // namespace

fake_upstream::fake_upstream(
    scenario const& setup,
    unsigned number,
    event_queue& events,
    std::mt19937_64& random,
    std::function<void(attempt_pointer const&)> respond)
    : setup_(setup)
    , number_(number)
    , events_(events)
    , random_(random)
    , respond_(std::move(respond))
{
}

void fake_upstream::receive(attempt_pointer const& attempt)
{
    arrivals_.push_back(events_.now());
    if (queue_.size() >= std::size_t{queue_per_slot} * setup_.service.slots)
    {
        attempt->result = health::attempt_result::refused;
        answer(attempt);
        return;
    }
    queue_.push_back(attempt);
    work();
}

void fake_upstream::work()
{
    while (busy_ < setup_.service.slots && !queue_.empty())
    {
        auto const attempt = queue_.front();
        queue_.pop_front();
        if (attempt->ended)
            continue;
        ++busy_;
        ++attempt->request->executions;
        events_.after(serve(*attempt),
                      [this, attempt]
                      {
                          complete(attempt);
                      });
    }
}

void fake_upstream::complete(attempt_pointer const& attempt)
{
    --busy_;
    answer(attempt);
    work();
}

void fake_upstream::answer(attempt_pointer const& attempt)
{
    attempt->reported_load = busy_ + static_cast<unsigned>(queue_.size());
    attempt->reports_leaving =
        setup_.fault == fault_kind::leaving && is_faulty();
    respond_(attempt);
}

bool fake_upstream::is_faulty() const
{
    auto const now = events_.now();
    if (!setup_.is_victim(number_) || now < setup_.fault_at)
        return false;
    if (setup_.fault == fault_kind::flap)
        return ((now - setup_.fault_at) / flap_time) % 2 == 0;
    return true;
}

core::duration fake_upstream::serve(attempt_state& attempt)
{
    constexpr double sigma = scenario::service_sigma;
    std::normal_distribution<double> normal(-sigma * sigma / 2, sigma);
    double factor = std::exp(normal(random_));
    if (is_faulty())
        switch (setup_.fault)
        {
        case fault_kind::slow:
        case fault_kind::flap:
            factor *= slow_factor;
            break;
        case fault_kind::errors:
            if (happens(error_fraction))
            {
                factor *= error_time_factor;
                attempt.result = health::attempt_result::upstream_error;
            }
            break;
        case fault_kind::wrong:
            if (happens(wrong_fraction))
                attempt.result = health::attempt_result::wrong_answer;
            break;
        case fault_kind::cold_start:
            factor *= cold_slowdown();
            break;
        default:
            break;
        }
    auto const mean = core::duration(scenario::service_time).count();
    return core::duration(
        static_cast<core::duration::rep>(factor * static_cast<double>(mean)));
}

double fake_upstream::cold_slowdown() const
{
    std::chrono::duration<double> const age =
        events_.now() - setup_.fault_at - scenario::list_lag;
    double const warmth = age / std::chrono::duration<double>(cold_time);
    // Before the list names it, its predecessor still works.
    return warmth < 0 ? 1 : std::max(1.0, cold_factor * (1 - warmth));
}

bool fake_upstream::happens(double probability)
{
    return std::uniform_real_distribution<double>()(random_) < probability;
}

} // namespace kumquatloom::measure
