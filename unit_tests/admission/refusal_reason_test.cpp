#include <kumquatloom/admission/refusal_reason.hpp>

#include <catch2/catch.hpp>

#include <set>

namespace
{

using namespace kumquatloom::admission;
using kumquatloom::request::outcome;

} // namespace

// Guards against a new reason without a text, a status or an outcome.
TEST_CASE("every refusal reason has a text, a status and an outcome",
          "[admission]")
{
    std::set<unsigned> const not_run_statuses = {
        400, 401, 403, 404, 413, 429, 431, 503};
    std::set<std::string_view> texts;
    for (int i = 0; i < static_cast<int>(refusal_reason::count); ++i)
    {
        auto const reason = static_cast<refusal_reason>(i);
        CAPTURE(i, to_string(reason));
        CHECK_FALSE(to_string(reason).empty());
        CHECK(texts.insert(to_string(reason)).second);

        // The outcome follows from the status (docs/design.md, section 3.1).
        auto const status = http_status(reason);
        if (not_run_statuses.contains(status))
            CHECK(outcome_of(reason) == outcome::not_run);
        else
        {
            CHECK((status == 502 || status == 504));
            CHECK(outcome_of(reason) == outcome::unknown);
        }

        // A resend must not report that the first request was not run.
        if (reason != refusal_reason::invalid_ticket)
            CHECK(outcome_of(reason, ticket_presence::present) ==
                  outcome::unknown);
    }
    CHECK(outcome_of(refusal_reason::invalid_ticket,
                     ticket_presence::present) == outcome::not_run);
}
