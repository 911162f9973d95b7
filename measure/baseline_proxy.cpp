#include <algorithm>
#include <chrono>
#include <measure/baseline_proxy.hpp>

namespace kumquatloom::measure
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned consecutive_errors_to_eject = 5;
constexpr core::duration ejection_time = 30s;
constexpr std::size_t max_ejected_percent = 10;
constexpr unsigned max_attempts = 3;

} // namespace

baseline_proxy::baseline_proxy(scenario const& setup, unsigned instance)
    : scenario_(setup)
    , upstreams_(setup.service.expected_upstreams)
    , next_(instance)
{
}

bool baseline_proxy::choose(simulated_attempt& attempt,
                            std::uint64_t /*random*/,
                            core::time_point now)
{
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        std::size_t const at = next_++ % upstreams_.size();
        if (!upstreams_[at].is_listed || now < upstreams_[at].ejected_until)
            continue;
        attempt.upstream = static_cast<unsigned>(at);
        return true;
    }
    return false;
}

void baseline_proxy::finish_attempt(simulated_attempt const& attempt,
                                    health::attempt_result result,
                                    core::time_point now)
{
    auto& upstream = upstreams_[attempt.upstream];
    if (result == health::attempt_result::success)
    {
        upstream.consecutive_errors = 0;
        return;
    }
    if (++upstream.consecutive_errors < consecutive_errors_to_eject)
        return;
    auto const ejected = static_cast<std::size_t>(
        std::count_if(upstreams_.begin(),
                      upstreams_.end(),
                      [&](state const& other)
                      {
                          return now < other.ejected_until;
                      }));
    if ((ejected + 1) * 100 > upstreams_.size() * max_ejected_percent)
        return;
    upstream.consecutive_errors = 0;
    upstream.ejected_until = now + ejection_time;
}

bool baseline_proxy::may_retry(simulated_request const& request,
                               health::attempt_result /*result*/) const
{
    return request.attempts < max_attempts;
}

void baseline_proxy::update_list(core::time_point now)
{
    auto const list = scenario_.list(now);
    for (std::size_t i = 0; i < list.size(); ++i)
        upstreams_[i].is_listed = !list[i].leaving;
}

bool baseline_proxy::is_ejected(unsigned upstream, core::time_point now) const
{
    return now < upstreams_[upstream].ejected_until;
}

} // namespace kumquatloom::measure
