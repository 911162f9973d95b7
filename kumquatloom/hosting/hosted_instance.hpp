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

/// One running entry instance in an environment that hosts it: it takes its
/// configuration and its upstreams from the environment's store, shares what
/// it learns with the instances of its failure domain, and runs everything on
/// one thread.
class hosted_instance
{
public:
    /// Targets of the pages that the environment asks for.
    struct page_paths
    {
        /// Answered 200 if the instance is ready, otherwise 503.
        std::string readiness;
        /// Answered with the addresses of instances.
        std::string directory;
    };

    /// Writes an answer of the directory.
    using directory_writer = std::function<std::string(
        std::vector<settings::endpoint> const& entries,
        std::chrono::milliseconds keep_for)>;

    /// How the environment's pages look.
    struct page_settings
    {
        /// Their paths.
        page_paths paths;
        /// Writes an answer of the directory.
        directory_writer write_directory;
    };

    /// Listens on all ports. Throws if an address cannot be used. The dialect
    /// must outlive the instance.
    hosted_instance(hosted_settings settings,
                    any_store store,
                    request::wire_dialect const& dialect,
                    page_settings environment_pages);
    ~hosted_instance();

    /// Runs until SIGTERM or SIGINT and the end of the running requests.
    /// `reload` is called at SIGHUP.
    void run(std::function<void()> reload);

    /// Begins to leave, as SIGTERM does. May be called from any thread.
    void begin_shutdown();

    /// The ports in use; 0 for a page that is not served.
    std::uint16_t callers_port() const;
    std::uint16_t readiness_port() const;
    std::uint16_t directory_port() const;

private:
    class parts;

    /// Keeps Asio out of the header.
    std::unique_ptr<parts> parts_;
};

} // namespace kumquatloom::hosting

#endif
