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

/// An entry instance on a simulated shared platform, with a store and upstreams
/// in the same process.
class platform_fixture
{
public:
    /// The store holds a configuration with the routes /read/ (safe) and
    /// /order/ (unsafe) of the service "shop".
    platform_fixture();
    ~platform_fixture();

    /// Settings, which a test may change before start().
    hosting::hosted_settings settings;

    /// Adds an upstream of the service and its entry in the store.
    raw_upstream& add_upstream(raw_upstream::script script,
                               std::string const& service = "shop");

    /// Writes the store entry of an upstream.
    void put_entry(std::string const& id,
                   std::uint16_t port,
                   std::string const& state,
                   std::string const& service = "shop",
                   unsigned born = 1,
                   unsigned slots = 6);

    /// Removes the store entry of an upstream.
    void remove_entry(std::string const& id);

    /// The configuration's table of organisations as JSON text; empty for none.
    std::string tenants;

    /// Writes a configuration; `rows` are the rows of its routes table and
    /// `services` those of its services table. With `tenants`, a route has
    /// `public` as its last value.
    void
    put_configuration(unsigned version,
                      std::string const& rows,
                      unsigned header_timeout_s = 3,
                      std::string const& services = R"(["shop"],["other"])",
                      std::size_t max_body_bytes = 1048576);

    /// Runs a function on the store's thread and waits for its end.
    void
    with_store(std::function<void(stand_ins::platform_store_stand_in&)> const&
                   function);

    /// Waits until the instance has applied the result of a store read that
    /// began after this call.
    void wait_for_reads();

    /// Starts the instance.
    void start();

    /// Starts the instance and waits until it is ready.
    void start_ready();

    /// Shuts the instance down and waits for its end.
    void finish();

    /// Sends a request on a new connection and returns the response.
    std::optional<received_response> exchange(std::string const& request);

    /// Returns the HTTP status of the readiness page.
    unsigned readiness();

    /// Returns the value of a metric; `name` includes its labels.
    std::uint64_t metric(std::string const& name);

    /// Returns the body of the directory page.
    std::string directory();

    /// Waits until the condition holds.
    static void wait_until(std::function<bool()> const& condition);

    hosting::hosted_instance& instance()
    {
        return *instance_;
    }

private:
    /// Context of the store.
    boost::asio::io_context context_;
    /// Stand-in for the platform's store.
    stand_ins::platform_store_stand_in store_;
    /// Thread that runs the context.
    std::thread store_thread_;
    std::vector<std::unique_ptr<raw_upstream>> upstreams_;
    /// The instance and its thread.
    std::unique_ptr<hosting::hosted_instance> instance_;
    std::thread thread_;
};

/// Builds a caller's request with the platform's header fields.
std::string platform_request(std::string_view method,
                             std::string_view target,
                             std::string_view body = {},
                             unsigned deadline_ms = 20000,
                             std::string_view more_headers = {});

/// Builds an upstream's complete response with the platform's header fields.
std::string platform_response(received_request const& request,
                              std::string_view body,
                              std::string_view more_headers = {},
                              std::string_view status = "200 OK");

} // namespace kumquatloom::unit_tests

#endif
