#ifndef KUMQUATLOOM_UNIT_TESTS_PLATFORM_ORDER_BURST_HPP
#define KUMQUATLOOM_UNIT_TESTS_PLATFORM_ORDER_BURST_HPP

#include <cstddef>
#include <memory>
#include <unit_tests/entry/raw_caller.hpp>
#include <unit_tests/entry/raw_upstream.hpp>
#include <vector>

namespace kumquatloom::unit_tests
{

class platform_fixture;

/// Orders on connections of their own, which wait for their responses.
class order_burst
{
public:
    explicit order_burst(platform_fixture& fixture);

    /// Sends more orders.
    void send(unsigned count);

    /// Number of orders so far.
    std::size_t size() const
    {
        return callers_.size();
    }

    /// Receives the response to an order and returns its status; 0 if the
    /// connection ends before.
    unsigned status_of(std::size_t number);

private:
    platform_fixture& fixture_;
    std::vector<std::unique_ptr<raw_caller>> callers_;
};

/// A script of an upstream that holds each request until it is released.
raw_reply hold_request(received_request const& request);

} // namespace kumquatloom::unit_tests

#endif
