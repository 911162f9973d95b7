#include <string>
#include <unit_tests/platform/order_burst.hpp>
#include <unit_tests/platform/platform_fixture.hpp>

namespace kumquatloom::unit_tests
{

order_burst::order_burst(platform_fixture& fixture)
    : fixture_(fixture)
{
}

void order_burst::send(unsigned count)
{
    for (unsigned number = 0; number < count; ++number)
    {
        callers_.push_back(
            std::make_unique<raw_caller>(fixture_.instance().callers_port()));
        callers_.back()->send(platform_request(
            "POST", "/order/" + std::to_string(callers_.size()), "kit"));
    }
}

unsigned order_burst::status_of(std::size_t number)
{
    auto const response = callers_.at(number)->receive();
    return response ? response->result_int() : 0;
}

raw_reply hold_request(received_request const& request)
{
    return {platform_response(request, "done"), false, false, true};
}

} // namespace kumquatloom::unit_tests
