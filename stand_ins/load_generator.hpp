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

/// What a load consists of.
struct load_settings
{
    /// Entry instances that are asked which ones to use.
    std::vector<settings::endpoint> entries;
    /// The platform's list, which names the upstreams to audit.
    settings::endpoint list;
    /// The organisation that the answers must be for.
    core::organisation_name organisation;
    /// Its credential.
    std::string credential;
    /// Target of reads, which are idempotent.
    std::string read_target = "/read";
    /// Target of writes, which are not.
    std::string write_target = "/write";
    /// Fraction of the requests that are writes.
    double write_fraction = 0.2;
    /// Requests a second.
    double rate_per_s = 100;
    /// Length of the load.
    std::chrono::milliseconds length{5000};
    /// Deadline of each request.
    std::chrono::milliseconds deadline{1000};
    /// Whether writes carry a ticket and are resent when the outcome is open.
    bool use_tickets = true;
    /// Seed of all random choices.
    std::uint64_t seed = 1;
};

/// Sends requests at an even rate as callers do: asks for entry instances,
/// keeps the answer for its time to live, checks every answer, and audits the
/// upstreams at the end.
class load_generator
{
public:
    /// Prepares the load.
    explicit load_generator(load_settings settings);
    ~load_generator();

    /// Runs the load and the audit.
    boost::asio::awaitable<load_report> run();

private:
    /// How a request went, as its caller sees it.
    enum class caller_view
    {
        completed,
        not_run,
        unknown,
        upstream_error,
        wrong,
        no_answer
    };

    boost::asio::awaitable<void> keep_entries_fresh();
    boost::asio::awaitable<bool> refresh_entries();
    boost::asio::awaitable<std::string> take_ticket();
    boost::asio::awaitable<void> send_one(std::uint64_t number, bool write);
    boost::asio::awaitable<caller_view> send_write(std::string operation);
    boost::asio::awaitable<caller_view>
    try_once(std::string operation, bool write, std::string const& ticket);
    caller_view judge(std::optional<http_response> const& response,
                      std::string const& operation);
    void count(caller_view view, bool write, std::string const& operation);
    std::unique_ptr<http_caller>
    take_connection(boost::asio::any_io_executor const& executor,
                    settings::endpoint const& entry);
    void return_connection(settings::endpoint const& entry,
                           std::unique_ptr<http_caller> connection);
    settings::endpoint choose_entry();
    boost::asio::awaitable<void> audit();

    /// What to do.
    load_settings settings_;
    /// What happened.
    load_report report_;
    /// The entry instances that callers use now.
    std::vector<settings::endpoint> current_entries_;
    /// Tickets that are not used yet.
    std::vector<std::string> tickets_;
    /// Idle connections by entry instance.
    std::map<std::string, std::vector<std::unique_ptr<http_caller>>> idle_;
    /// Requests that have not ended.
    std::uint64_t running_ = 0;
    /// Whether the load is over.
    bool stopped_ = false;
    /// Source of all random choices.
    std::mt19937_64 random_;
};

} // namespace kumquatloom::stand_ins

#endif
