#ifndef KUMQUATLOOM_UNIT_TESTS_ENTRY_ENTRY_FIXTURE_HPP
#define KUMQUATLOOM_UNIT_TESTS_ENTRY_ENTRY_FIXTURE_HPP

#include <kumquatloom/entry/entry_instance.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stand_ins/instance_list_stand_in.hpp>
#include <string>
#include <thread>
#include <unit_tests/entry/raw_caller.hpp>
#include <unit_tests/entry/raw_upstream.hpp>
#include <vector>

namespace kumquatloom::unit_tests
{

/// A standalone entry instance with an instance list and upstreams, all in this
/// process.
class entry_fixture
{
public:
    entry_fixture();
    ~entry_fixture();

    /// Settings to change before start().
    settings::instance_settings settings;

    /// Adds an upstream of the only service.
    raw_upstream& add_upstream(raw_upstream::script script);

    /// Adds an upstream that refuses connections.
    void add_unreachable_upstream();

    /// Adds another entry instance to the instance list.
    void list_entry_instance(std::string const& id, std::uint16_t port);

    /// Starts the instance and waits until it is ready.
    void start();

    /// Sends a request on a new connection and returns the response.
    std::optional<received_response> exchange(std::string_view request);

    /// Sends a request without a body to the operators' port and returns the
    /// response.
    received_response exchange_with_operators_port(std::string const& method,
                                                   std::string const& target);

    /// Replaces the document by one in which the credential of the callers is
    /// unknown, and waits until it is in force.
    void remove_credential();

    /// Returns the value of a metric; `name` includes its labels.
    std::uint64_t metric(std::string const& name);

    /// Polls until the condition holds.
    static void wait_until(std::function<bool()> const& condition);

    entry::entry_instance& instance()
    {
        return *instance_;
    }

private:
    void list_upstream(std::string const& id, std::uint16_t port);

    /// Context of the instance list.
    boost::asio::io_context context_;
    /// Serves the platform's instance list.
    stand_ins::instance_list_stand_in instance_list_;
    /// Runs the context after start().
    std::thread thread_;
    std::vector<std::unique_ptr<raw_upstream>> upstreams_;
    std::unique_ptr<entry::entry_instance> instance_;
};

} // namespace kumquatloom::unit_tests

#endif
