#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <stand_ins/http_caller.hpp>
#include <stand_ins/load_generator.hpp>
#include <utility>

namespace kumquatloom::stand_ins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Timeout of requests that are not part of the load itself.
constexpr milliseconds control_timeout{3000};
/// Time after the deadline for which a caller waits for a late response.
constexpr milliseconds response_margin{1000};
/// Interval at which the list of entry instances is refreshed.
constexpr milliseconds entries_refresh_interval{500};
/// Maximum number of times that a write is sent, including the first.
constexpr int max_write_sends = 3;
/// Maximum number of entry instances that a caller spreads its requests over.
constexpr std::size_t max_used_entries = 4;

std::string header(http_response const& response, std::string_view name)
{
    auto const value = response[boost::beast::string_view(name)];
    return {value.data(), value.size()};
}

/// Whether the body is the complete response to the operation.
bool is_complete_response(std::string const& body,
                          std::string const& operation,
                          core::organisation_name const& organisation)
{
    boost::system::error_code error;
    auto const value = json::parse(body, error);
    if (error || !value.is_object())
        return false;
    auto const& object = value.get_object();
    auto const has = [&](std::string_view key, json::value const& expected)
    {
        auto const* const found = object.if_contains(key);
        return found != nullptr && *found == expected;
    };
    return has("operation", json::value(operation)) &&
           has("organisation", json::value(organisation.value())) &&
           has("end", json::value(true));
}

/// The address of a listed instance. This is a separate function because
/// g++ 12 destroys members of an aggregate twice in a coroutine.
settings::endpoint address_of(json::value const& instance)
{
    return {std::string(instance.at("host").as_string()),
            instance.at("port").to_number<std::uint16_t>()};
}

asio::awaitable<void> sleep_until(steady_clock::time_point time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(as_result);
}

} // namespace

load_generator::load_generator(load_settings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed)
{
}

load_generator::~load_generator() = default;

asio::awaitable<load_report> load_generator::run()
{
    auto const executor = co_await asio::this_coro::executor;
    co_await refresh_entries();
    asio::co_spawn(executor, refresh_entries_periodically(), asio::detached);

    // Open loop: the send rate does not depend on the responses.
    auto const start = steady_clock::now();
    auto const gap = std::chrono::duration_cast<steady_clock::duration>(
        std::chrono::duration<double>(1.0 / settings_.rate_per_s));
    std::bernoulli_distribution is_write(settings_.write_fraction);
    auto next = start;
    for (std::uint64_t number = 0; next < start + settings_.duration; ++number)
    {
        co_await sleep_until(next);
        asio::co_spawn(
            executor, run_request(number, is_write(random_)), asio::detached);
        next += gap;
    }

    // Wait for outstanding requests.
    while (outstanding_ > 0)
        co_await sleep_until(steady_clock::now() + milliseconds(10));
    stopped_ = true;
    co_await audit();
    co_return report_;
}

asio::awaitable<void> load_generator::refresh_entries_periodically()
{
    while (!stopped_)
    {
        co_await sleep_until(steady_clock::now() + entries_refresh_interval);
        if (!stopped_)
            co_await refresh_entries();
    }
}

asio::awaitable<bool> load_generator::refresh_entries()
{
    // Ask the current instances first, then the configured ones.
    auto candidates = current_entries_;
    candidates.insert(
        candidates.end(), settings_.entries.begin(), settings_.entries.end());
    for (auto const& candidate : candidates)
    {
        auto request = make_request(http::verb::get, "/.kumquatloom/entries");
        request.set(http::field::authorization,
                    "Bearer " + settings_.credential);
        auto const response =
            co_await call_once(candidate, std::move(request), control_timeout);
        if (!response || response->result() != http::status::ok)
            continue;
        boost::system::error_code error;
        auto const value = json::parse(response->body(), error);
        if (error)
            continue;
        std::vector<settings::endpoint> found;
        for (auto const& entry : value.at("entries").as_array())
            if (auto const address = settings::parse_endpoint(
                    std::string(entry.at("address").as_string())))
                found.push_back(*address);
        if (found.empty())
            continue;
        current_entries_ = std::move(found);
        co_return true;
    }
    co_return false;
}

asio::awaitable<std::string> load_generator::take_ticket()
{
    if (tickets_.empty() && !current_entries_.empty())
    {
        auto request = make_request(http::verb::post, "/.kumquatloom/tickets");
        request.set(http::field::authorization,
                    "Bearer " + settings_.credential);
        auto const response = co_await call_once(
            choose_entry(), std::move(request), control_timeout);
        boost::system::error_code error;
        if (response && response->result() == http::status::ok)
        {
            auto const value = json::parse(response->body(), error);
            if (!error)
                for (auto const& ticket : value.at("tickets").as_array())
                    tickets_.emplace_back(ticket.as_string());
        }
    }
    if (tickets_.empty())
        co_return std::string();
    std::string ticket = std::move(tickets_.back());
    tickets_.pop_back();
    co_return ticket;
}

asio::awaitable<void> load_generator::run_request(std::uint64_t number,
                                                  bool write)
{
    ++outstanding_;
    ++report_.requests;
    std::string const operation =
        "op-" + std::to_string(settings_.seed) + "-" + std::to_string(number);
    auto const start = steady_clock::now();
    auto const outcome = write ? co_await send_write(operation)
                               : co_await send_attempt(operation, false, {});
    auto const latency = std::chrono::duration_cast<std::chrono::microseconds>(
        steady_clock::now() - start);
    if (outcome == caller_outcome::completed)
        report_.latencies.push_back(latency);
    if (latency > settings_.deadline)
        ++report_.late;
    count_outcome(outcome, write, operation);
    --outstanding_;
}

asio::awaitable<load_generator::caller_outcome>
load_generator::send_write(std::string operation)
{
    report_.writes.insert(operation);
    std::string ticket;
    if (settings_.use_tickets)
        ticket = co_await take_ticket();
    auto outcome = caller_outcome::unknown;
    for (int send = 0; send < max_write_sends; ++send)
    {
        if (send > 0)
            ++report_.resends;
        auto const latest = co_await send_attempt(operation, true, ticket);
        // A later "not-run" does not replace the unknown outcome of an earlier
        // send.
        if (send == 0 || latest != caller_outcome::not_run)
            outcome = latest;
        bool const is_unresolved = latest == caller_outcome::unknown ||
                                   latest == caller_outcome::no_answer;
        if (!is_unresolved || ticket.empty())
            break;
    }
    co_return outcome;
}

asio::awaitable<load_generator::caller_outcome> load_generator::send_attempt(
    std::string operation, bool write, std::string const& ticket)
{
    if (current_entries_.empty())
        co_return caller_outcome::no_answer;
    auto const entry = choose_entry();
    auto request =
        make_request(write ? http::verb::post : http::verb::get,
                     write ? settings_.write_target : settings_.read_target,
                     write ? operation : "");
    request.set(http::field::authorization, "Bearer " + settings_.credential);
    request.set("X-Operation", operation);
    request.set("Kumquatloom-Deadline-Ms",
                std::to_string(settings_.deadline.count()));
    if (!ticket.empty())
        request.set("Kumquatloom-Ticket", ticket);
    auto connection =
        take_connection(co_await asio::this_coro::executor, entry);
    auto const response = co_await connection->call(
        std::move(request), settings_.deadline + response_margin);
    if (response)
        release_connection(entry, std::move(connection));
    co_return classify_response(response, operation);
}

load_generator::caller_outcome
load_generator::classify_response(std::optional<http_response> const& response,
                                  std::string const& operation)
{
    if (!response)
        return caller_outcome::no_answer;
    auto const outcome = header(*response, "Kumquatloom-Outcome");
    if (outcome == "not-run")
        return caller_outcome::not_run;
    if (outcome == "unknown")
        return caller_outcome::unknown;
    if (response->result() != http::status::ok)
        return caller_outcome::upstream_error;
    return is_complete_response(
               response->body(), operation, settings_.organisation)
               ? caller_outcome::completed
               : caller_outcome::wrong;
}

void load_generator::count_outcome(caller_outcome outcome,
                                   bool write,
                                   std::string const& operation)
{
    switch (outcome)
    {
    case caller_outcome::completed:
        ++report_.completed;
        if (write)
            report_.reported_completed.insert(operation);
        break;
    case caller_outcome::not_run:
        ++report_.not_run;
        report_.reported_not_run.insert(operation);
        break;
    case caller_outcome::unknown:
        ++report_.unknown;
        break;
    case caller_outcome::upstream_error:
        ++report_.upstream_errors;
        break;
    case caller_outcome::wrong:
        ++report_.wrong;
        break;
    case caller_outcome::no_answer:
        ++report_.no_answer;
        break;
    }
}

std::unique_ptr<http_caller>
load_generator::take_connection(asio::any_io_executor const& executor,
                                settings::endpoint const& entry)
{
    auto& connections = idle_connections_[to_string(entry)];
    if (connections.empty())
        return std::make_unique<http_caller>(executor, entry);
    auto connection = std::move(connections.back());
    connections.pop_back();
    return connection;
}

void load_generator::release_connection(settings::endpoint const& entry,
                                        std::unique_ptr<http_caller> connection)
{
    idle_connections_[to_string(entry)].push_back(std::move(connection));
}

settings::endpoint load_generator::choose_entry()
{
    auto const usable = std::min(current_entries_.size(), max_used_entries);
    std::uniform_int_distribution<std::size_t> index(0, usable - 1);
    return current_entries_[index(random_)];
}

asio::awaitable<void> load_generator::audit()
{
    // Read the addresses of the upstreams.
    auto const list =
        co_await call_once(settings_.list,
                           make_request(http::verb::get, "/instances"),
                           control_timeout);
    if (!list)
    {
        ++report_.unread_audits;
        co_return;
    }
    // Add up the executions of each operation over all upstreams.
    std::map<std::string, std::uint64_t> executions;
    auto const instances = json::parse(list->body());
    for (auto const& instance : instances.at("instances").as_array())
    {
        if (instance.at("kind").as_string() != "upstream")
            continue;
        auto const address = address_of(instance);
        auto const response = co_await call_once(
            address, make_request(http::verb::get, "/audit"), control_timeout);
        if (!response)
        {
            ++report_.unread_audits;
            continue;
        }
        auto const counters = json::parse(response->body());
        report_.late_work_to_leaving +=
            counters.at("received_late_while_leaving")
                .to_number<std::uint64_t>();
        for (auto const& count : counters.at("executions").as_object())
            executions[std::string(count.key())] +=
                count.value().to_number<std::uint64_t>();
    }
    // Compare the executions with the outcomes that callers received.
    for (auto const& operation : report_.writes)
        if (executions[operation] > 1)
            ++report_.double_executions;
    for (auto const& operation : report_.reported_not_run)
        if (executions[operation] > 0)
            ++report_.false_not_run;
    for (auto const& operation : report_.reported_completed)
        if (executions[operation] == 0)
            ++report_.false_completed;
}

} // namespace kumquatloom::stand_ins
