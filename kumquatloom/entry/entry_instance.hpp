#ifndef KUMQUATLOOM_ENTRY_ENTRY_INSTANCE_HPP
#define KUMQUATLOOM_ENTRY_ENTRY_INSTANCE_HPP

#include <kumquatloom/document/document.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace kumquatloom::entry
{

/// Whether an instance is a member of a fleet.
enum class fleet_mode
{
    /// Serves the document passed to publish(), without peers or a log.
    alone,
    /// Joins the fleet named in its settings.
    member
};

/// A running entry instance with its servers, threads and connections.
class entry_instance
{
public:
    /// Longest time for which a peer may still advertise an instance that has
    /// started draining, with a margin for clock drift.
    static constexpr std::chrono::milliseconds default_grace{5000};

    /// Listens on all ports and starts the threads. `grace` is the time for
    /// which a draining instance continues to serve after the advertised
    /// addresses have expired. Throws if an address can't be used.
    explicit entry_instance(settings::instance_settings settings,
                            std::chrono::milliseconds grace = default_grace,
                            fleet_mode mode = fleet_mode::alone);
    /// Aborts all requests unless wait() has returned before.
    ~entry_instance();

    /// Activates a document; for standalone instances.
    void publish(boost::intrusive_ptr<document::document const> document);

    /// Drains on SIGTERM or SIGINT. A second signal ends the wait for
    /// advertised addresses to expire.
    void leave_on_signals();

    /// Starts draining, as an operator's drain request does.
    void drain();

    /// Blocks until draining is complete and all threads have exited.
    void wait();

    /// The bound port for callers.
    std::uint16_t callers_port() const;

    /// The bound port for operators.
    std::uint16_t operators_port() const;

private:
    class impl;

    /// Hides Asio from users of this header.
    std::unique_ptr<impl> impl_;
};

} // namespace kumquatloom::entry

#endif
