#ifndef KUMQUATLOOM_HOSTING_HOSTED_INSTANCE_HPP
#define KUMQUATLOOM_HOSTING_HOSTED_INSTANCE_HPP

#include <kumquatloom/hosting/any_store.hpp>
#include <kumquatloom/hosting/hosted_settings.hpp>
#include <kumquatloom/request/wire_dialect.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// An entry instance that runs on a hosting platform. It takes its
/// configuration and upstreams from the platform's store, exchanges load and
/// health evidence with the instances of its failure domain, and runs on one
/// thread.
class hosted_instance
{
public:
    /// Request targets of the pages that the platform and callers request.
    struct page_paths
    {
        /// Returns 200 if the instance is ready, otherwise 503.
        std::string readiness;
        /// Returns the addresses of the instances that callers should use.
        std::string directory;
    };

    /// Formats the body of a directory response. Callers may cache it for
    /// `ttl`.
    using directory_writer = std::function<std::string(
        std::vector<settings::endpoint> const& entries,
        std::chrono::milliseconds ttl)>;

    /// Paths and formats of the pages.
    struct page_settings
    {
        page_paths paths;
        directory_writer write_directory;
    };

    /// Listens on all ports. Throws if an address cannot be used. `dialect`
    /// must outlive the instance.
    hosted_instance(hosted_settings settings,
                    any_store store,
                    request::wire_dialect const& dialect,
                    page_settings platform_pages);
    ~hosted_instance();

    /// Runs until a shutdown was started by SIGTERM, SIGINT or begin_shutdown()
    /// and the requests in flight have completed or the grace period has
    /// passed. `reload` is called on SIGHUP.
    void run(std::function<void()> reload);

    /// Starts a graceful shutdown, as SIGTERM does. Thread-safe.
    void begin_shutdown();

    /// Listening ports; 0 for a page that is not served.
    std::uint16_t callers_port() const;
    std::uint16_t operators_port() const;
    std::uint16_t readiness_port() const;
    std::uint16_t directory_port() const;

private:
    class implementation;

    /// Hides Asio from users of this header.
    std::unique_ptr<implementation> implementation_;
};

} // namespace kumquatloom::hosting

#endif
