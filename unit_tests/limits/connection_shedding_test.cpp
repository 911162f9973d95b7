#include <kumquatloom/limits/connection_shedding.hpp>
#include <kumquatloom/limits/transfer_progress.hpp>

#include <catch2/catch.hpp>

#include <chrono>

namespace
{

using namespace std::chrono_literals;
using namespace kumquatloom;
using limits::connection_activity;
using limits::connection_phase;
using limits::message_kind;

core::time_point const start{1000h};
limits::shedding_settings const settings;

} // namespace

// Guards against closing the connection of an ordinary caller to make room for
// another one.
TEST_CASE("connections are closed for others in order of their use", "[limits]")
{
    auto const gain =
        [](connection_phase phase, bool served, core::duration age)
    {
        return limits::connection_gain(
            {phase, served, start}, start + age, settings);
    };

    SECTION("one without a complete request comes first, the oldest of them")
    {
        auto const phase =
            GENERATE(connection_phase::idle, connection_phase::reading);
        CHECK(gain(phase, false, 2ms) > gain(phase, false, 1ms));
        CHECK(gain(phase, false, 0ms) >
              gain(connection_phase::idle, true, 24h));
    }

    SECTION("an idle one is kept as long as callers reuse it")
    {
        CHECK(gain(connection_phase::idle, true, settings.reuse_time) == 0);
        CHECK(gain(connection_phase::idle, true, settings.reuse_time + 1ms) >
              0);
    }

    SECTION("one with a request in progress is kept")
    {
        auto const phase =
            GENERATE(connection_phase::executing, connection_phase::writing);
        auto const served = GENERATE(false, true);
        CHECK(gain(phase, served, 24h) == 0);
        CHECK(gain(connection_phase::reading, true, 24h) == 0);
    }
}

// Guards against refusing a caller that sends while another one holds memory
// without sending.
TEST_CASE("memory is freed where most is held without progress", "[limits]")
{
    constexpr std::size_t mebibyte = 1024UL * 1024;
    auto const kind = GENERATE(message_kind::request, message_kind::response);
    auto const gain =
        [kind](connection_phase phase, core::duration stall, std::size_t bytes)
    {
        bool const is_request = kind == message_kind::request;
        return limits::memory_gain({phase,
                                    false,
                                    start,
                                    is_request ? bytes : 0,
                                    is_request ? 0 : bytes},
                                   kind,
                                   start + stall,
                                   settings);
    };
    auto const phase =
        GENERATE(connection_phase::reading, connection_phase::writing);

    SECTION("more bytes and a longer stall come first")
    {
        CHECK(gain(phase, 1s, 2 * mebibyte) > gain(phase, 1s, mebibyte));
        CHECK(gain(phase, 2s, mebibyte) > gain(phase, 1s, mebibyte));
        CHECK(gain(phase, 1s, 8 * mebibyte) > gain(phase, 4s, mebibyte));
    }

    SECTION("one with recent progress is kept")
    {
        CHECK(gain(phase, settings.min_stall - 1ms, mebibyte) == 0);
        CHECK(gain(phase, settings.min_stall, mebibyte) > 0);
    }

    SECTION("memory of the other kind doesn't count")
    {
        connection_activity const other{
            phase,
            true,
            start,
            kind == message_kind::response ? mebibyte : 0,
            kind == message_kind::request ? mebibyte : 0};
        CHECK(limits::memory_gain(other, kind, start + 24h, settings) == 0);
    }

    SECTION("one that is idle or executing is kept")
    {
        CHECK(gain(connection_phase::idle, 24h, mebibyte) == 0);
        CHECK(gain(connection_phase::executing, 24h, mebibyte) == 0);
    }
}

// Guards against a body that arrives a byte at a time and is never given up,
// and against a large one that is given up although it progresses.
TEST_CASE("a transfer has to keep a minimum rate", "[limits]")
{
    constexpr std::size_t step = 100;
    limits::transfer_progress progress(step, 3s, start);
    CHECK(progress.deadline() == start + 3s);

    SECTION("a byte less than the step is no progress")
    {
        progress.record(step - 1, start + 2s);
        CHECK(progress.deadline() == start + 3s);
    }

    SECTION("the step is")
    {
        progress.record(step, start + 2s);
        CHECK(progress.deadline() == start + 5s);
        CHECK(progress.progressed_at() == start + 2s);
        progress.record(2 * step - 1, start + 4s);
        CHECK(progress.deadline() == start + 5s);
        progress.record(2 * step, start + 4s);
        CHECK(progress.deadline() == start + 7s);
    }
}
