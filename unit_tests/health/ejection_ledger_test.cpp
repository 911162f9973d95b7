#include <kumquatloom/health/ejection_ledger.hpp>

#include <catch2/catch.hpp>

namespace
{

using namespace kumquatloom;
using health::ejection_rejection;

core::service_name const service("storefront");
constexpr unsigned budget = 2;

health::eject_record
eject(char const* upstream, std::uint32_t slot, core::log_offset release)
{
    return {"id", service, core::upstream_id(upstream), slot, release};
}

health::readmit_record
readmit(char const* upstream, std::uint32_t slot, core::log_offset ejection)
{
    return {"id", service, core::upstream_id(upstream), slot, ejection};
}

} // namespace

// Guards against more ejections in force than the budget allows: by reuse of an
// occupied or outdated slot, by a late duplicate of a record, or by a change of
// the budget.
TEST_CASE("an ejection occupies a slot of the budget")
{
    health::ejection_ledger ledger;
    REQUIRE(ledger.apply(eject("a", 0, 0), 10, budget));

    SECTION("a slot holds one upstream, and an upstream occupies one slot")
    {
        CHECK(ledger.apply(eject("b", 0, 0), 11, budget).error() ==
              ejection_rejection::slot_taken);
        CHECK(ledger.apply(eject("a", 1, 0), 12, budget).error() ==
              ejection_rejection::already_ejected);
        CHECK(ledger.apply(eject("b", 2, 0), 13, budget).error() ==
              ejection_rejection::slot_outside_budget);
        CHECK(ledger.apply(eject("b", 1, 0), 14, budget));
    }

    SECTION("the upstream is readmitted")
    {
        CHECK(ledger.apply(readmit("a", 0, 9), 20, budget).error() ==
              ejection_rejection::no_such_ejection);
        REQUIRE(ledger.apply(readmit("a", 0, 10), 20, budget));

        SECTION("a late duplicate of the ejection has no effect")
        {
            CHECK(ledger.apply(eject("a", 0, 0), 21, budget).error() ==
                  ejection_rejection::release_not_current);
        }

        SECTION("a record that names the last release claims the slot")
        {
            REQUIRE(ledger.apply(eject("b", 0, 20), 22, budget));

            SECTION("a late duplicate of the readmission has no effect")
            {
                CHECK(ledger.apply(readmit("a", 0, 10), 23, budget).error() ==
                      ejection_rejection::no_such_ejection);
            }
        }
    }

    SECTION("the budget is reduced and increased again")
    {
        REQUIRE(ledger.apply(eject("b", 1, 0), 15, budget));
        ledger.change_budget(service, 1, 30);
        CHECK(ledger.slots(service)[0].upstream == core::upstream_id("a"));
        CHECK(ledger.slots(service)[1].is_free());
        ledger.change_budget(service, budget, 40);
        CHECK(ledger.apply(eject("c", 1, 0), 41, budget).error() ==
              ejection_rejection::release_not_current);
        CHECK(ledger.apply(eject("c", 1, 30), 42, budget));
    }
}
