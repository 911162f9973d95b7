#ifndef KUMQUATLOOM_UNIT_TESTS_ENTRY_ENDLESS_RESPONSE_HPP
#define KUMQUATLOOM_UNIT_TESTS_ENTRY_ENDLESS_RESPONSE_HPP

#include <string>
#include <unit_tests/entry/raw_upstream.hpp>
#include <vector>

namespace kumquatloom::unit_tests
{

/// A response of which one part never ends.
struct endless_response
{
    /// The part that never ends.
    std::string part;
    /// The bytes before that part.
    std::string before;
    /// The bytes that are repeated without end.
    std::string unit;
};

/// One response for each part of the grammar of HTTP/1.1 that has no bounded
/// size. `fields` are header fields that identify a response as valid.
std::vector<endless_response> endless_responses(std::string const& fields);

/// The reply of an upstream that sends the response.
raw_reply to_reply(endless_response const& response);

} // namespace kumquatloom::unit_tests

#endif
