#ifndef KUMQUATLOOM_UNIT_TESTS_PLATFORM_PLATFORM_FIXTURE_HPP
#define KUMQUATLOOM_UNIT_TESTS_PLATFORM_PLATFORM_FIXTURE_HPP

#include <kumquatloom/hosting/hosted_instance.hpp>
#include <kumquatloom/hosting/hosted_settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <stand_ins/platform_store_stand_in.hpp>
#include <string>
#include <thread>
#include <unit_tests/entry/raw_caller.hpp>
#include <unit_tests/entry/raw_upstream.hpp>
#include <vector>

namespace kumquatloom::unit_tests
{

/// An instance on the shared platform with a store and back ends, all in this
/// process.
class platform_fixture
{
public:
    /// The store holds a configuration with the routes /read/ (safe) and
    /// /order/ (unsafe) of the service "shop".
    platform_fixture();
    ~platform_fixture();

    /// Settings to change before start().
    hosting::hosted_settings settings;

    /// Adds a back end of the service with an entry in the store.
    raw_upstream& add_upstream(raw_upstream::script script,
                               std::string const& service = "shop");

    /// Writes the entry of a back end.
    void put_entry(std::string const& id,
                   std::uint16_t port,
                   std::string const& state,
                   std::string const& service = "shop");

    /// Writes a configuration with the rows of its routes.
    void put_configuration(unsigned version, std::string const& rows);

    /// Runs a step on the store's thread and waits for it.
    void with_store(
        std::function<void(stand_ins::platform_store_stand_in&)> const& step);

    /// Waits until the instance has asked the store so often that it knows
    /// the answer to a read which began after this call.
    void wait_for_reads();

    /// Starts the instance.
    void start();

    /// Starts it and waits until it is ready.
    void start_ready();

    /// Lets it leave and waits for its end.
    void finish();

    /// Sends a request on a connection of its own.
    std::optional<received_response> ask(std::string const& request);

    /// The status of the readiness page.
    unsigned readiness();

    /// The body of the directory's answer.
    std::string directory();

    /// Waits until the condition holds.
    static void wait_until(std::function<bool()> const& condition);

    /// The running instance.
    hosting::hosted_instance& instance()
    {
        return *instance_;
    }

private:
    /// Runs the store.
    boost::asio::io_context context_;
    /// The store.
    stand_ins::platform_store_stand_in store_;
    /// Runs the context.
    std::thread store_thread_;
    /// The back ends.
    std::vector<std::unique_ptr<raw_upstream>> upstreams_;
    /// The instance and its thread.
    std::unique_ptr<hosting::hosted_instance> instance_;
    std::thread thread_;
};

/// A client's request with the platform's fields.
std::string platform_request(std::string_view method,
                             std::string_view target,
                             std::string_view body = {},
                             unsigned deadline_ms = 20000,
                             std::string_view more_headers = {});

/// A back end's whole answer with the platform's fields.
std::string platform_answer(received_request const& request,
                            std::string_view body,
                            std::string_view more_headers = {},
                            std::string_view status = "200 OK");

} // namespace kumquatloom::unit_tests

#endif
