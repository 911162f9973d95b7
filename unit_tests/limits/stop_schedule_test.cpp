#include <kumquatloom/limits/stop_schedule.hpp>

#include <catch2/catch.hpp>

#include <chrono>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::limits;
using namespace std::chrono_literals;

core::time_point const begin(1000s);

} // namespace

// Guards against requests that are cut at the end of a planned stop.
TEST_CASE("a stop leaves time for the last responses", "[limits]")
{
    auto const grace =
        std::chrono::milliseconds(GENERATE(4000, 6000, 10000, 20000));
    stop_schedule const schedule(begin, grace);
    auto const answer_by = schedule.answer_by();

    SECTION("the last responses come before the exit and the kill")
    {
        CHECK(answer_by < schedule.exit_at());
        CHECK(schedule.exit_at() < begin + grace);
    }

    SECTION("requests in progress have five sixths of the grace time")
    {
        CHECK(answer_by >= begin + grace * 5 / 6);
    }

    // The request may take as long as it likes.
    auto const unlimited = core::time_point::max();

    SECTION("a request is left to other instances if there is no time for it")
    {
        CHECK(schedule.has_time(begin, 500ms));
        CHECK_FALSE(schedule.has_time(answer_by - 900ms, 500ms));
        CHECK_FALSE(schedule.has_time(answer_by, 0ms));
        CHECK_FALSE(schedule.has_time(answer_by + 1s, 0ms));
        CHECK(schedule.accepts(begin, 500ms, unlimited));
        CHECK_FALSE(schedule.accepts(answer_by - 900ms, 500ms, unlimited));
        CHECK_FALSE(schedule.accepts(answer_by, 0ms, unlimited));
        CHECK_FALSE(schedule.accepts(answer_by + 1s, 0ms, unlimited));
        // Nor does a deadline before the end make up for the estimate.
        CHECK_FALSE(
            schedule.accepts(answer_by - 900ms, 500ms, answer_by - 1ms));
    }

    SECTION("a longer estimate needs more time")
    {
        auto const early = begin + 1s;
        auto const left = answer_by - early;
        CHECK(schedule.accepts(early, left / 2, unlimited));
        CHECK_FALSE(schedule.accepts(early, left / 2 + 100ms, unlimited));
        CHECK(schedule.has_time(answer_by - 2s, 900ms));
        CHECK_FALSE(schedule.has_time(answer_by - 2s, 1100ms));
        CHECK(schedule.accepts(answer_by - 2s, 900ms, answer_by));
        CHECK_FALSE(schedule.accepts(answer_by - 2s, 1100ms, answer_by));
    }

    SECTION("late in the grace time a request must end before its end even if "
            "it takes all of its time")
    {
        auto const late = begin + 3100ms;
        bool const has_time = answer_by - late >= 1s;
        CHECK(schedule.accepts(late, 0ms, answer_by) == has_time);
        CHECK_FALSE(schedule.accepts(late, 0ms, answer_by + 1ms));
        CHECK_FALSE(schedule.accepts(late, 0ms, unlimited));
    }
}
