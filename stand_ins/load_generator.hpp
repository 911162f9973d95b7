#ifndef KUMQUATLOOM_STAND_INS_LOAD_GENERATOR_HPP
#define KUMQUATLOOM_STAND_INS_LOAD_GENERATOR_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <stand_ins/http_types.hpp>
#include <stand_ins/load_report.hpp>
#include <string>
#include <vector>

namespace kumquatloom::stand_ins
{

class http_caller;

/// Settings of a load.
struct load_settings
{
    /// Entry instances that are initially queried for the list of entry
    /// instances.
    std::vector<settings::endpoint> entries;
    /// Address of the platform's list, which names the upstreams to audit.
    settings::endpoint list;
    /// The organisation of the caller, which responses must name.
    core::organisation_name organisation;
    /// Credential of the organisation.
    std::string credential;
    /// Request target of reads, which are idempotent.
    std::string read_target = "/read";
    /// Request target of writes, which are not idempotent.
    std::string write_target = "/write";
    /// Fraction of the requests that are writes.
    double write_fraction = 0.2;
    /// Requests per second.
    double rate_per_s = 100;
    /// Duration of the load.
    std::chrono::milliseconds duration{5000};
    /// Deadline of each request.
    std::chrono::milliseconds deadline{1000};
    /// Whether writes carry a ticket and are resent after an unknown outcome.
    bool use_tickets = true;
    /// Random seed.
    std::uint64_t seed = 1;
};

/// Open-loop load generator. Simulates callers: reads the list of entry
/// instances periodically, sends requests at a constant rate, checks every
/// response, and compares the outcomes with the upstreams' audits at the end.
class load_generator
{
public:
    /// Sends nothing before run().
    explicit load_generator(load_settings settings);
    ~load_generator();

    /// Runs the load and the audit.
    boost::asio::awaitable<load_report> run();

private:
    /// Outcome of a request for its caller.
    enum class caller_outcome
    {
        completed,
        not_run,
        unknown,
        upstream_error,
        wrong,
        no_answer
    };

    boost::asio::awaitable<void> refresh_entries_periodically();
    boost::asio::awaitable<bool> refresh_entries();
    boost::asio::awaitable<std::string> take_ticket();
    boost::asio::awaitable<void> run_request(std::uint64_t number, bool write);
    boost::asio::awaitable<caller_outcome> send_write(std::string operation);
    boost::asio::awaitable<caller_outcome>
    send_attempt(std::string operation, bool write, std::string const& ticket);
    caller_outcome
    classify_response(std::optional<http_response> const& response,
                      std::string const& operation);
    void count_outcome(caller_outcome outcome,
                       bool write,
                       std::string const& operation);
    std::unique_ptr<http_caller>
    take_connection(boost::asio::any_io_executor const& executor,
                    settings::endpoint const& entry);
    void release_connection(settings::endpoint const& entry,
                            std::unique_ptr<http_caller> connection);
    settings::endpoint choose_entry();
    boost::asio::awaitable<void> audit();

    /// Settings of the load.
    load_settings settings_;
    /// Results so far.
    load_report report_;
    /// Current list of entry instances.
    std::vector<settings::endpoint> current_entries_;
    /// Unused tickets.
    std::vector<std::string> tickets_;
    /// Idle connections by entry instance.
    std::map<std::string, std::vector<std::unique_ptr<http_caller>>>
        idle_connections_;
    /// Number of outstanding requests.
    std::uint64_t outstanding_ = 0;
    /// Whether the load has ended.
    bool stopped_ = false;
    /// Random number generator.
    std::mt19937_64 random_;
};

} // namespace kumquatloom::stand_ins

#endif
