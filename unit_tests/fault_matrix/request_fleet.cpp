#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/entry/entry_instance.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include <chrono>
#include <stand_ins/http_caller.hpp>
#include <stand_ins/instance_list_stand_in.hpp>
#include <unit_tests/fault_matrix/request_fleet.hpp>

namespace kumquatloom::fault_matrix
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr unsigned action_count = static_cast<unsigned>(upstream_action::count);
constexpr char const* secret = "secret-of-the-matrix";
constexpr char const* organisation = "matrix";
/// Deadline of every request of the matrix.
constexpr std::chrono::milliseconds deadline = 500ms;
/// Patience of the callers, which is longer than any deadline.
constexpr std::chrono::milliseconds caller_patience = 20s;

std::string service_of(upstream_pair pair)
{
    return "s-" + std::to_string(static_cast<int>(pair.first)) + "-" +
           std::to_string(static_cast<int>(pair.second));
}

/// Calls `visit` for every ordered pair of actions.
template <typename Visit>
void for_each_pair(Visit const& visit)
{
    for (unsigned i = 0; i < action_count; ++i)
        for (unsigned k = 0; k < action_count; ++k)
            visit(upstream_pair{static_cast<upstream_action>(i),
                                static_cast<upstream_action>(k)});
}

boost::intrusive_ptr<document::document> make_document()
{
    boost::intrusive_ptr<document::document> result(new document::document);
    result->version = 1;
    core::organisation_name const name(organisation);
    result->organisations[name].credentials.push_back(core::sha256(secret));
    for_each_pair(
        [&](upstream_pair pair)
        {
            core::service_name const service(service_of(pair));
            document::service_settings settings;
            settings.expected_upstreams = 2;
            settings.slots = 64;
            settings.timeout = 200ms;
            result->services[service] = settings;
            document::route_settings route;
            route.prefix = "/" + service.value();
            route.service = service;
            route.organisations.push_back(name);
            route.deadline = deadline;
            result->routes.push_back(route);
        });
    return result;
}

bool is_own_answer(std::string const& body, std::string const& operation)
{
    boost::system::error_code error;
    auto const value = json::parse(body, error);
    return !error && value.is_object() && value.get_object().size() == 3 &&
           value.at("operation") == json::value(operation) &&
           value.at("organisation") == json::value(organisation) &&
           value.at("end") == json::value(true);
}

} // namespace

request_fleet::request_fleet()
{
    start_upstreams();
    start_instance();
}

request_fleet::~request_fleet() = default;

void request_fleet::start_upstreams()
{
    list_ = std::make_unique<stand_ins::instance_list_stand_in>(
        context_, settings::endpoint{"127.0.0.1", 0}, 0ms);
    for (unsigned i = 0; i < action_count; ++i)
        upstreams_.push_back(std::make_unique<scripted_upstream>(
            context_, static_cast<upstream_action>(i), executions_));
    for_each_pair(
        [&](upstream_pair pair)
        {
            auto const add = [&](upstream_action action, char const* suffix)
            {
                auto const index = static_cast<std::size_t>(action);
                list_->upsert({{"id", service_of(pair) + suffix},
                               {"kind", "upstream"},
                               {"service", service_of(pair)},
                               {"host", "127.0.0.1"},
                               {"port", upstreams_[index]->port()},
                               {"peer_port", 0},
                               {"failure_domain", "domain"},
                               {"region", "region"},
                               {"state", "live"}});
            };
            add(pair.first, "-first");
            add(pair.second, "-second");
        });
}

void request_fleet::start_instance()
{
    settings::instance_settings settings;
    settings.instance = {core::instance_id("entry"),
                         core::failure_domain("domain"),
                         core::region("region")};
    settings.listen = {{"127.0.0.1", 0}, {"127.0.0.1", 0}, {"127.0.0.1", 0}};
    settings.platform.instances = list_->local_endpoint();
    settings.platform.log = {"127.0.0.1", 1};
    settings.platform.poll_interval = 50ms;
    settings.callers.entries_ttl = 0ms;
    settings.upstreams.connections_per_upstream = 400;
    instance_ = std::make_unique<entry::entry_instance>(settings, 0ms);
    instance_->publish(make_document());
}

settings::endpoint request_fleet::callers_address() const
{
    return {"127.0.0.1", instance_->callers_port()};
}

std::vector<request_record> request_fleet::run(unsigned rounds)
{
    asio::co_spawn(
        context_,
        [&]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            for_each_pair(
                [&](upstream_pair pair)
                {
                    ++running_;
                    asio::co_spawn(
                        context_, run_service(pair, rounds), asio::detached);
                });
        },
        asio::detached);
    context_.run();
    return records_;
}

asio::awaitable<void> request_fleet::wait_until_ready()
{
    auto const callers = callers_address();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    // The pair of well upstreams answers as soon as the list was read.
    constexpr upstream_pair well{upstream_action::answer_well,
                                 upstream_action::answer_well};
    for (;;)
    {
        auto request = stand_ins::make_request(http::verb::get,
                                               "/" + service_of(well) + "/x");
        request.set(http::field::authorization,
                    std::string("Bearer ") + secret);
        auto const response = co_await stand_ins::call_once(
            callers, std::move(request), caller_patience);
        if (response && response->result() == http::status::ok)
            co_return;
        timer.expires_after(20ms);
        co_await timer.async_wait(as_result);
    }
}

asio::awaitable<void> request_fleet::run_service(upstream_pair pair,
                                                 unsigned rounds)
{
    for (unsigned round = 0; round < rounds; ++round)
    {
        co_await run_request(pair, false, round);
        co_await run_request(pair, true, round);
    }
    // Late executions count as well, so the counts are taken at the very end.
    if (--running_ == 0)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, 800ms);
        co_await timer.async_wait(as_result);
        for (auto& record : records_)
            record.executions = executions_[record.operation];
        context_.stop();
    }
}

asio::awaitable<void>
request_fleet::run_request(upstream_pair pair, bool is_post, unsigned round)
{
    std::string const operation = service_of(pair) +
                                  (is_post ? "-post-" : "-get-") +
                                  std::to_string(round);
    auto request =
        stand_ins::make_request(is_post ? http::verb::post : http::verb::get,
                                "/" + service_of(pair) + "/item",
                                is_post ? "body of " + operation : "");
    request.set(http::field::authorization, std::string("Bearer ") + secret);
    request.set("X-Operation", operation);
    request.set("Kumquatloom-Deadline-Ms", std::to_string(deadline.count()));
    auto const callers = callers_address();
    auto const response = co_await stand_ins::call_once(
        callers, std::move(request), caller_patience);
    request_record record;
    record.pair = pair;
    record.operation = operation;
    record.is_post = is_post;
    if (response)
    {
        record.answered = true;
        auto const outcome = (*response)["Kumquatloom-Outcome"];
        record.outcome = std::string(outcome);
        record.own_answer = response->result() != http::status::ok ||
                            is_own_answer(response->body(), operation);
    }
    records_.push_back(std::move(record));
}

} // namespace kumquatloom::fault_matrix
