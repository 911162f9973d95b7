#include <kumquatloom/entry/forwarded_headers.hpp>
#include <kumquatloom/entry/header_names.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/proxy_handler.hpp>
#include <kumquatloom/entry/route_finder.hpp>
#include <kumquatloom/entry/upstream_exchange.hpp>

#include <boost/asio/ip/address.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Paths that the system answers itself.
constexpr std::string_view own_paths = "/.kumquatloom/";
constexpr std::string_view entries_path = "/.kumquatloom/entries";

std::string_view as_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_idempotent(http::verb method)
{
    switch (method)
    {
    case http::verb::get:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::options:
        return true;
    default:
        return false;
    }
}

bool is_repeatable(http_request const& request, document::repeat_rule rule)
{
    if (beast::iequals(request[idempotent_header], "false"))
        return false;
    if (rule == document::repeat_rule::by_method)
        return is_idempotent(request.method());
    return rule == document::repeat_rule::always;
}

/// The caller's deadline, of which the route's is the upper limit; nothing if
/// the header is malformed.
std::optional<std::chrono::milliseconds>
requested_deadline(http_request const& request, std::chrono::milliseconds limit)
{
    if (request.count(deadline_header) == 0)
        return limit;
    auto const text = as_view(request[deadline_header]);
    std::uint64_t number = 0;
    auto const parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return std::chrono::milliseconds(
        std::min(number, static_cast<std::uint64_t>(limit.count())));
}

} // namespace

proxy_handler::proxy_handler(asio::io_context& context,
                             instance_state& state,
                             std::size_t connection_limit)
    : context_(context)
    , state_(state)
    , connection_limit_(connection_limit)
{
}

proxy_handler::~proxy_handler() = default;

asio::awaitable<http_response> proxy_handler::answer(call& call)
{
    auto const grant = admit(call);
    if (!grant)
        co_return refuse(grant.error());
    if (grant.value().route == nullptr)
        co_return entries_answer(grant.value().organisation);
    co_return co_await forward(call, grant.value());
}

http_response proxy_handler::refuse(answer_reason reason)
{
    state_.reasons.increment(reason);
    return system_answer(reason, execution::not_run);
}

void proxy_handler::close_idle(core::time_point unused_since)
{
    for (auto const& [peer, pool] : pools_)
        pool->close_idle(unused_since);
}

core::result<proxy_handler::admitted, answer_reason>
proxy_handler::admit(call const& call) const
{
    auto const& request = call.request;
    admitted result;
    result.document = state_.document.read();
    if (!result.document)
        return answer_reason::no_route;
    // The organisation comes from the credential alone.
    auto const organisation = authenticate(
        *result.document, as_view(request[http::field::authorization]));
    if (!organisation)
        return answer_reason::unauthenticated;
    result.organisation = *organisation;
    auto const target = as_view(request.target());
    if (target.starts_with(own_paths))
    {
        if (target.substr(0, target.find('?')) != entries_path)
            return answer_reason::no_route;
        return result;
    }
    result.route = find_route(*result.document, target);
    if (result.route == nullptr)
        return answer_reason::no_route;
    if (!may_use(*result.route,
                 result.organisation,
                 state_.settings.instance.region))
        return answer_reason::forbidden;
    auto const remaining = requested_deadline(request, result.route->deadline);
    if (!remaining)
        return answer_reason::malformed_request;
    result.deadline = call.received + *remaining;
    result.repeatable = is_repeatable(request, result.route->repeat);
    return result;
}

asio::awaitable<http_response> proxy_handler::forward(call& call,
                                                      admitted const& grant)
{
    constexpr unsigned max_attempts = 2;
    auto reason = answer_reason::no_upstream;
    // Stays true once an attempt can have run, whatever follows.
    bool can_have_run = false;
    boost::intrusive_ptr<upstream_pool> pool;
    for (unsigned number = 0; number < max_attempts; ++number)
    {
        pool = pick(grant.route->service, pool.get());
        if (!pool)
            break;
        if (number != 0)
            state_.events.increment(entry_event::attempt_retried);
        auto attempt = co_await run_attempt(call, grant, *pool);
        call.attempts += attempt.latency;
        if (!attempt.failure)
        {
            state_.events.increment(entry_event::request_completed);
            call.memory = std::move(attempt.memory);
            co_return forwarded_answer(std::move(attempt.answer),
                                       call.request.method() ==
                                           http::verb::head);
        }
        reason = *attempt.failure;
        can_have_run = can_have_run || attempt.sent == sent_state::written;
        bool const allowed =
            grant.repeatable || attempt.sent != sent_state::written;
        if (!allowed || call.cancelled() ||
            core::clock::now() >= grant.deadline)
            break;
    }
    state_.reasons.increment(reason);
    co_return system_answer(
        reason, can_have_run ? execution::unknown : execution::not_run);
}

asio::awaitable<attempt> proxy_handler::run_attempt(call& call,
                                                    admitted const& grant,
                                                    upstream_pool& pool)
{
    auto const& service = grant.document->services.at(grant.route->service);
    auto const limit = core::clock::now() + service.timeout;
    upstream_exchange exchange(
        state_, call, grant.organisation, std::min(limit, grant.deadline));
    co_return co_await exchange.run(pool);
}

http_response
proxy_handler::entries_answer(core::organisation_name const&) const
{
    boost::json::array entries;
    auto const add = [&](std::string const& id,
                         std::string const& address,
                         core::failure_domain const& domain,
                         core::region const& region)
    {
        entries.push_back({{"instance", id},
                           {"address", address},
                           {"failure_domain", domain.value()},
                           {"region", region.value()}});
    };
    auto const& self = state_.settings.instance;
    if (!state_.leaving.load(std::memory_order_relaxed))
        add(self.id.value(),
            settings::to_string(state_.callers_address()),
            self.failure_domain,
            self.region);
    if (auto const list = state_.instances.read())
        for (auto const& entry : list->entries)
            if (!entry.leaving && entry.id != self.id.value())
                add(entry.id,
                    entry.host + ':' + std::to_string(entry.port),
                    entry.failure_domain,
                    entry.region);
    boost::json::object body;
    auto const document = state_.document.read();
    body["version"] = document ? document->version : 0;
    body["ttl_ms"] = state_.settings.callers.entries_ttl.count();
    body["entries"] = std::move(entries);
    body["tickets"] = boost::json::array();
    return json_answer(http::status::ok, boost::json::serialize(body) + '\n');
}

boost::intrusive_ptr<upstream_pool>
proxy_handler::pick(core::service_name const& service,
                    upstream_pool const* not_this)
{
    auto const list = state_.instances.read();
    if (!list)
        return nullptr;
    auto const found = list->upstreams.find(service);
    if (found == list->upstreams.end())
        return nullptr;
    auto const& candidates = found->second;
    for (std::size_t tried = 0; tried < candidates.size(); ++tried)
    {
        auto const& candidate = candidates[next_++ % candidates.size()];
        if (candidate.leaving)
            continue;
        auto pool = pool_of(candidate);
        if (pool && (pool.get() != not_this || candidates.size() == 1))
            return pool;
    }
    return nullptr;
}

boost::intrusive_ptr<upstream_pool>
proxy_handler::pool_of(listed_instance const& target)
{
    error_code error;
    auto const address = asio::ip::make_address(target.host, error);
    if (error)
        return nullptr;
    tcp::endpoint const peer(address, target.port);
    auto& pool = pools_[peer];
    if (!pool)
        pool = new upstream_pool(context_, state_, peer, connection_limit_);
    return pool;
}

} // namespace kumquatloom::entry
