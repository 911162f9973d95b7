#include <kumquatloom/limits/stop_schedule.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

namespace
{

/// Time after the stop signal within which an estimate suffices to accept a
/// request. A caller that sends one later can't expect that it is cut at the
/// end of the grace time.
constexpr std::chrono::milliseconds estimate_time{3000};
/// Fraction of the grace time, as a divisor, that remains after the exit. It
/// covers the delay between the signal and its handler on a busy instance.
constexpr int exit_margin_divisor = 12;
/// Time for writing the last responses before the exit.
constexpr std::chrono::milliseconds response_time{200};
/// Multiple of the estimated time to a response that must be left, because the
/// times of single requests exceed their average.
constexpr int estimate_factor = 2;
/// Smallest time to a response that is assumed.
constexpr std::chrono::milliseconds min_expected{500};

} // namespace

stop_schedule::stop_schedule(core::time_point begin,
                             std::chrono::milliseconds grace)
    : estimates_until_(begin + estimate_time)
    , answer_by_(begin + grace - grace / exit_margin_divisor - response_time)
    , exit_at_(begin + grace - grace / exit_margin_divisor)
{
}

bool stop_schedule::accepts(core::time_point now,
                            core::duration expected,
                            core::time_point deadline) const
{
    return has_time(now, expected) &&
           (now <= estimates_until_ || deadline <= answer_by_);
}

bool stop_schedule::has_time(core::time_point now,
                             core::duration expected) const
{
    auto const assumed = std::max<core::duration>(expected, min_expected);
    return now + assumed * estimate_factor <= answer_by_;
}

} // namespace kumquatloom::limits
