#include <catch2/catch.hpp>

#include <unit_tests/fault_matrix/request_fleet.hpp>

using namespace kumquatloom;

// Guards against truncated or mixed-up responses, repeated executions of a POST
// and false "not-run" outcomes, for each pair of upstream faults and two rounds
// of requests.
TEST_CASE("requests are correct under each pair of upstream faults",
          "[fault_matrix]")
{
    fault_matrix::request_fleet fleet;
    auto const records = fleet.run(2);
    auto const actions =
        static_cast<std::size_t>(fault_matrix::upstream_action::count);
    CHECK(records.size() == actions * actions * 4);

    for (auto const& record : records)
    {
        CAPTURE(record.operation, record.outcome, record.executions);
        // Every caller gets a response with an outcome.
        CHECK(record.has_response);
        bool const has_outcome = record.outcome == "completed" ||
                                 record.outcome == "not-run" ||
                                 record.outcome == "unknown";
        CHECK(has_outcome);
        // A completed response is complete and belongs to the request.
        if (record.outcome == "completed")
        {
            CHECK(record.own_response);
            CHECK(record.executions >= 1);
        }
        // A request that is reported as not run was not run.
        if (record.outcome == "not-run")
            CHECK(record.executions == 0);
        // A non-idempotent request runs at most once.
        if (record.is_post)
            CHECK(record.executions <= 1);
    }
}
