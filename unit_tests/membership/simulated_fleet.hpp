#ifndef KUMQUATLOOM_UNIT_TESTS_MEMBERSHIP_SIMULATED_FLEET_HPP
#define KUMQUATLOOM_UNIT_TESTS_MEMBERSHIP_SIMULATED_FLEET_HPP

#include <kumquatloom/membership/cell_protocol.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquatloom::membership
{

/// Faults of the simulated network.
struct network_faults
{
    /// Fraction of datagrams that is lost.
    double loss = 0;
    /// Minimum delay of a message.
    std::chrono::milliseconds min_delay{1};
    /// Maximum delay of a message; differing delays reorder messages.
    std::chrono::milliseconds max_delay{1};
};

/// One simulated instance.
struct simulated_instance
{
    local_identity identity;
    std::unique_ptr<cell_protocol> protocol;
    local_state state;
    bool running = true;
    bool paused = false;
    bool log_reachable = true;
    /// Messages in the receive buffer of a paused instance, as positions in
    /// `simulated_fleet::buffered_packets_`.
    std::vector<std::size_t> buffered;
};

/// Simulates instances, a network, a log and an instance list with a manual
/// clock. The log is represented by the offset of its head.
class simulated_fleet
{
public:
    /// Length of a step, in which each instance ticks once.
    static constexpr std::chrono::milliseconds step_length{100};

    /// Starts with `per_domain` instances in each of four failure domains of
    /// two regions.
    simulated_fleet(std::size_t per_domain, std::uint32_t seed);

    /// Starts an instance and returns its index; generates an id if `name` is
    /// empty.
    std::size_t start(std::string const& domain, std::string name = {});

    /// Stops an instance without an announcement.
    void crash(std::size_t index);

    /// Crashes an instance and starts one of the same name with another
    /// incarnation. Returns the index of the new one.
    std::size_t restart(std::size_t index, std::int64_t incarnation_step = 1);

    /// Makes an instance announce that it is leaving.
    void begin_leaving(std::size_t index);

    /// Pauses an instance; messages to it are buffered.
    void pause(std::size_t index);

    /// Continues a paused instance.
    void resume(std::size_t index);

    /// Breaks or restores the path from one instance to another.
    void cut(std::size_t from, std::size_t to, bool is_cut = true);

    /// Breaks or restores all paths between the regions.
    void cut_regions(bool are_cut);

    /// Runs for a duration and calls `each_step` after each step.
    template <typename Check>
    void run(std::chrono::milliseconds time, Check each_step)
    {
        for (auto const end = now_ + time; now_ < end;)
        {
            step();
            each_step();
        }
    }

    /// Runs for a duration.
    void run(std::chrono::milliseconds time)
    {
        run(time, [] {});
    }

    /// Whether `observer` may list `subject` for callers.
    bool lists_for_callers(std::size_t observer, std::size_t subject) const;

    /// State of `subject` as seen by `observer`, for instances of one region;
    /// `unheard` if `observer` does not know it.
    member_state state_of(std::size_t observer, std::size_t subject) const;

    /// Describes running instances that others do not list for callers, and
    /// stopped or leaving ones that they do; empty once the fleet has
    /// converged.
    std::string differences() const;

    bool converged() const
    {
        return differences().empty();
    }

    /// Number of running instances that read the log, by region.
    std::map<core::region, std::size_t> readers() const;

    /// Running instances that are not leaving.
    std::vector<std::size_t> running() const;

    /// Appends a record to the log.
    void append()
    {
        ++head_;
    }

    core::log_offset head() const
    {
        return head_;
    }

    core::time_point now() const
    {
        return now_;
    }

    /// Network faults; may be changed at any time.
    network_faults faults;
    /// Lag of the instance list.
    std::chrono::milliseconds list_lag{5000};
    /// Whether the instance list can be read.
    bool list_reachable = true;
    /// Number of sync requests, responses and pushes between regions, including
    /// those that a broken path drops.
    std::size_t syncs_across_regions = 0;
    /// All instances ever started.
    std::vector<simulated_instance> instances;

private:
    struct packet
    {
        std::size_t from;
        std::size_t to;
        settings::endpoint source;
        core::incarnation incarnation;
        std::shared_ptr<peer::message const> body;
        bool stream;
    };

    void step();
    void tick(std::size_t index);
    void read_list();
    void deliver(packet const& item);
    void deliver_sync(packet const& item, outbox& out);
    void apply_records(std::size_t index,
                       core::log_offset offset,
                       record_origin origin,
                       outbox& out);
    void send(std::size_t from, outbox& out);
    void send_packet(std::size_t from,
                     peer::destination const& to,
                     std::shared_ptr<peer::message const> body,
                     bool stream);
    bool is_cut(std::size_t from, std::size_t to) const;
    std::size_t index_of(settings::endpoint const& address) const;

    std::mt19937 random_;
    core::time_point now_;
    core::log_offset head_ = 1;
    std::uint64_t next_incarnation_ = 1000;
    std::multimap<core::time_point, packet> packets_;
    std::vector<packet> buffered_packets_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    bool regions_cut_ = false;
    std::map<std::string, std::size_t> by_address_;
    std::multimap<core::time_point, std::vector<listed_instance>>
        published_lists_;
    core::time_point next_list_read_;
};

} // namespace kumquatloom::membership

#endif
