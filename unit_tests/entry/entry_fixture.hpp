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

/// An entry instance with a list and upstreams, all in this process.
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
    void add_dead_upstream();

    /// Lists another entry instance.
    void add_entry(std::string const& id, std::uint16_t port);

    /// Starts the instance and waits until it is ready.
    void start();

    /// Sends a request on a connection of its own.
    std::optional<received_response> ask(std::string_view request);

    /// Sends a request without a body to the operators' port.
    received_response ask_operators(std::string const& method,
                                    std::string const& target);

    /// The value of a line of the metrics page.
    std::uint64_t metric(std::string const& name);

    /// Waits until the condition holds.
    static void wait_until(std::function<bool()> const& condition);

    /// The running instance.
    entry::entry_instance& instance()
    {
        return *instance_;
    }

private:
    void list(std::string const& id, std::uint16_t port);

    /// Runs the list.
    boost::asio::io_context context_;
    /// The platform's list.
    stand_ins::instance_list_stand_in list_;
    /// Runs the context after start().
    std::thread thread_;
    /// The upstreams.
    std::vector<std::unique_ptr<raw_upstream>> upstreams_;
    /// The instance.
    std::unique_ptr<entry::entry_instance> instance_;
};

} // namespace kumquatloom::unit_tests

#endif
