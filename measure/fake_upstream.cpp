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

/// Queue capacity per slot; an upstream refuses requests while its queue is
/// full.
constexpr unsigned queue_per_slot = 2;
/// Service time factors of a slow upstream and of a replacement at the
/// beginning of its warm-up.
constexpr double slow_factor = 8;
constexpr double cold_factor = 4;
/// Warm-up time of the replacement of an upstream, from the time at which the
/// list names the replacement and instances begin to send requests to it.
constexpr core::duration cold_time = 10s;
/// Fractions of the requests that fail or get a wrong response.
constexpr double error_fraction = 0.5;
constexpr double wrong_fraction = 0.3;
/// Service time factor of failed requests: a broken process fails fast.
constexpr double error_time_factor = 0.1;
/// Time after which a flapping upstream changes its state.
constexpr core::duration flap_time = 10s;

} // namespace

fake_upstream::fake_upstream(
    scenario const& setup,
    unsigned number,
    event_queue& events,
    std::mt19937_64& random,
    std::function<void(attempt_pointer const&)> respond)
    : scenario_(setup)
    , number_(number)
    , events_(events)
    , random_(random)
    , respond_(std::move(respond))
{
}

void fake_upstream::receive(attempt_pointer const& attempt)
{
    arrivals_.push_back(events_.now());
    if (queue_.size() >= std::size_t{queue_per_slot} * scenario_.service.slots)
    {
        attempt->result = health::attempt_result::refused;
        send_response(attempt);
        return;
    }
    queue_.push_back(attempt);
    start_queued();
}

void fake_upstream::start_queued()
{
    while (busy_ < scenario_.service.slots && !queue_.empty())
    {
        auto const attempt = queue_.front();
        queue_.pop_front();
        if (attempt->ended)
            continue;
        ++busy_;
        ++attempt->request->executions;
        events_.after(draw_service_time(*attempt),
                      [this, attempt]
                      {
                          complete(attempt);
                      });
    }
}

void fake_upstream::complete(attempt_pointer const& attempt)
{
    --busy_;
    send_response(attempt);
    start_queued();
}

void fake_upstream::send_response(attempt_pointer const& attempt)
{
    attempt->reported_load = busy_ + static_cast<unsigned>(queue_.size());
    attempt->reports_leaving =
        scenario_.fault == fault_kind::leaving && is_faulty();
    respond_(attempt);
}

bool fake_upstream::is_faulty() const
{
    auto const now = events_.now();
    if (!scenario_.is_victim(number_) || now < scenario_.fault_at)
        return false;
    if (scenario_.fault == fault_kind::flap)
        return ((now - scenario_.fault_at) / flap_time) % 2 == 0;
    return true;
}

core::duration fake_upstream::draw_service_time(simulated_attempt& attempt)
{
    constexpr double sigma = scenario::service_sigma;
    std::normal_distribution<double> normal(-sigma * sigma / 2, sigma);
    double factor = std::exp(normal(random_));
    if (is_faulty())
        switch (scenario_.fault)
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
        events_.now() - scenario_.fault_at - scenario::list_lag;
    double const warmup_fraction =
        age / std::chrono::duration<double>(cold_time);
    // Until the list names the replacement, its predecessor serves requests.
    return warmup_fraction < 0
               ? 1
               : std::max(1.0, cold_factor * (1 - warmup_fraction));
}

bool fake_upstream::happens(double probability)
{
    return std::uniform_real_distribution<double>()(random_) < probability;
}

} // namespace kumquatloom::measure
