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
/// Time limit for everything that is not part of the load itself.
constexpr milliseconds control_timeout{3000};
/// Time after the deadline in which a caller still accepts the answer.
constexpr milliseconds answer_margin{1000};
/// Time between two looks at the entry instances to use.
constexpr milliseconds entries_refresh_interval{500};
/// Sends of one write, the first one included.
constexpr int max_write_sends = 3;
/// Entry instances out of an answer that a caller spreads its requests over.
constexpr std::size_t used_entries = 4;

std::string header(http_response const& response, std::string_view name)
{
    auto const value = response[boost::beast::string_view(name)];
    return {value.data(), value.size()};
}

/// Whether the body says that it is the whole answer to the operation.
bool is_own_answer(std::string const& body,
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

/// The address of a listed instance. Not in a coroutine, where g++ 12 destroys
/// members of an aggregate twice.
settings::endpoint address_of(json::value const& instance)
{
    return {std::string(instance.at("host").as_string()),
            instance.at("port").to_number<std::uint16_t>()};
}

asio::awaitable<void> pause_until(steady_clock::time_point time)
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
    asio::co_spawn(executor, keep_entries_fresh(), asio::detached);

    // Send at an even rate, whatever the answers do.
    auto const start = steady_clock::now();
    auto const gap = std::chrono::duration_cast<steady_clock::duration>(
        std::chrono::duration<double>(1.0 / settings_.rate_per_s));
    std::bernoulli_distribution is_write(settings_.write_fraction);
    auto next = start;
    for (std::uint64_t number = 0; next < start + settings_.length; ++number)
    {
        co_await pause_until(next);
        asio::co_spawn(
            executor, send_one(number, is_write(random_)), asio::detached);
        next += gap;
    }

    // Wait for the last answers.
    while (running_ > 0)
        co_await pause_until(steady_clock::now() + milliseconds(10));
    stopped_ = true;
    co_await audit();
    co_return report_;
}

asio::awaitable<void> load_generator::keep_entries_fresh()
{
    while (!stopped_)
    {
        co_await pause_until(steady_clock::now() + entries_refresh_interval);
        if (!stopped_)
            co_await refresh_entries();
    }
}

asio::awaitable<bool> load_generator::refresh_entries()
{
    // Ask the instances in use first, then those named at the start.
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

asio::awaitable<void> load_generator::send_one(std::uint64_t number, bool write)
{
    ++running_;
    ++report_.requests;
    std::string const operation =
        "op-" + std::to_string(settings_.seed) + "-" + std::to_string(number);
    auto const start = steady_clock::now();
    auto const view = write ? co_await send_write(operation)
                            : co_await try_once(operation, false, {});
    auto const time = std::chrono::duration_cast<std::chrono::microseconds>(
        steady_clock::now() - start);
    if (view == caller_view::completed)
        report_.latencies.push_back(time);
    if (time > settings_.deadline)
        ++report_.late;
    count(view, write, operation);
    --running_;
}

asio::awaitable<load_generator::caller_view>
load_generator::send_write(std::string operation)
{
    report_.writes.insert(operation);
    std::string ticket;
    if (settings_.use_tickets)
        ticket = co_await take_ticket();
    auto view = caller_view::unknown;
    for (int send = 0; send < max_write_sends; ++send)
    {
        if (send > 0)
            ++report_.resends;
        auto const latest = co_await try_once(operation, true, ticket);
        // A later "not-run" says nothing about a send whose outcome is open.
        if (send == 0 || latest != caller_view::not_run)
            view = latest;
        bool const open =
            latest == caller_view::unknown || latest == caller_view::no_answer;
        if (!open || ticket.empty())
            break;
    }
    co_return view;
}

asio::awaitable<load_generator::caller_view> load_generator::try_once(
    std::string operation, bool write, std::string const& ticket)
{
    if (current_entries_.empty())
        co_return caller_view::no_answer;
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
        std::move(request), settings_.deadline + answer_margin);
    if (response)
        return_connection(entry, std::move(connection));
    co_return judge(response, operation);
}

load_generator::caller_view
load_generator::judge(std::optional<http_response> const& response,
                      std::string const& operation)
{
    if (!response)
        return caller_view::no_answer;
    auto const outcome = header(*response, "Kumquatloom-Outcome");
    if (outcome == "not-run")
        return caller_view::not_run;
    if (outcome == "unknown")
        return caller_view::unknown;
    if (response->result() != http::status::ok)
        return caller_view::upstream_error;
    return is_own_answer(response->body(), operation, settings_.organisation)
               ? caller_view::completed
               : caller_view::wrong;
}

void load_generator::count(caller_view view,
                           bool write,
                           std::string const& operation)
{
    switch (view)
    {
    case caller_view::completed:
        ++report_.completed;
        if (write)
            report_.reported_completed.insert(operation);
        break;
    case caller_view::not_run:
        ++report_.not_run;
        report_.reported_not_run.insert(operation);
        break;
    case caller_view::unknown:
        ++report_.unknown;
        break;
    case caller_view::upstream_error:
        ++report_.upstream_errors;
        break;
    case caller_view::wrong:
        ++report_.wrong;
        break;
    case caller_view::no_answer:
        ++report_.no_answer;
        break;
    }
}

std::unique_ptr<http_caller>
load_generator::take_connection(asio::any_io_executor const& executor,
                                settings::endpoint const& entry)
{
    auto& connections = idle_[to_string(entry)];
    if (connections.empty())
        return std::make_unique<http_caller>(executor, entry);
    auto connection = std::move(connections.back());
    connections.pop_back();
    return connection;
}

void load_generator::return_connection(settings::endpoint const& entry,
                                       std::unique_ptr<http_caller> connection)
{
    idle_[to_string(entry)].push_back(std::move(connection));
}

settings::endpoint load_generator::choose_entry()
{
    auto const usable = std::min(current_entries_.size(), used_entries);
    std::uniform_int_distribution<std::size_t> index(0, usable - 1);
    return current_entries_[index(random_)];
}

asio::awaitable<void> load_generator::audit()
{
    // Find the upstreams.
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
        auto const audit = json::parse(response->body());
        report_.late_work_to_leaving +=
            audit.at("received_late_while_leaving").to_number<std::uint64_t>();
        for (auto const& entry : audit.at("executions").as_object())
            executions[std::string(entry.key())] +=
                entry.value().to_number<std::uint64_t>();
    }
    // Compare them with what callers were told.
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
