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

    SECTION("a request is left to other instances if there is no time for it")
    {
        CHECK(can_answer_in_time(begin, 500ms, answer_by));
        CHECK_FALSE(can_answer_in_time(answer_by - 900ms, 500ms, answer_by));
        CHECK_FALSE(can_answer_in_time(answer_by, 0ms, answer_by));
        CHECK_FALSE(can_answer_in_time(answer_by + 1s, 0ms, answer_by));
    }

    SECTION("a longer estimate needs more time")
    {
        CHECK(can_answer_in_time(answer_by - 2s, 900ms, answer_by));
        CHECK_FALSE(can_answer_in_time(answer_by - 2s, 1100ms, answer_by));
    }
}
