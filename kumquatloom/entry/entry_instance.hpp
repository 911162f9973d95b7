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

/// Whether an instance belongs to a fleet.
enum class fleet_mode
{
    /// It serves the document that it is given, without peers and log.
    alone,
    /// It takes part in the fleet of its settings.
    member
};

/// One running entry instance: its servers, threads and connections.
class entry_instance
{
public:
    /// Longest time that a peer may still hand out an instance that has begun
    /// to leave, with a margin for clock rates.
    static constexpr std::chrono::milliseconds default_grace{5000};

    /// Listens on all ports and starts the threads. `grace` is the time that
    /// a leaving instance serves on after the addresses that callers keep have
    /// expired. Throws if an address cannot be used.
    explicit entry_instance(settings::instance_settings settings,
                            std::chrono::milliseconds grace = default_grace,
                            fleet_mode mode = fleet_mode::alone);
    /// Ends all requests at once, unless wait() has returned before.
    ~entry_instance();

    /// Puts a document in force; for instances that are in no fleet.
    void publish(boost::intrusive_ptr<document::document const> document);

    /// Begins to leave at SIGTERM and SIGINT, and ends the wait for callers
    /// at a second one.
    void leave_on_signals();

    /// Begins to leave, as an operator's drain does.
    void drain();

    /// Returns when the instance has left: no request is running.
    void wait();

    /// The callers' port in use.
    std::uint16_t callers_port() const;

    /// The operators' port in use.
    std::uint16_t operators_port() const;

private:
    class parts;

    /// Keeps Asio out of the header.
    std::unique_ptr<parts> parts_;
};

} // namespace kumquatloom::entry

#endif
