#ifndef KUMQUATLOOM_ENTRY_PROXY_HANDLER_HPP
#define KUMQUATLOOM_ENTRY_PROXY_HANDLER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/entry/answer_reason.hpp>
#include <kumquatloom/entry/call.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/system_answer.hpp>
#include <kumquatloom/entry/upstream_pool.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace kumquatloom::entry
{

struct instance_state;
struct listed_instance;
struct attempt;

/// Answers the requests of one worker's callers.
class proxy_handler
{
public:
    /// Opens at most `connection_limit` connections to each upstream.
    proxy_handler(asio::io_context& context,
                  instance_state& state,
                  std::size_t connection_limit);
    ~proxy_handler();

    /// The answer to one request; always complete.
    asio::awaitable<http_response> answer(call& call);

    /// The answer to a request that was not received completely.
    http_response refuse(answer_reason reason);

    /// Closes idle connections that were not used since the given time.
    void close_idle(core::time_point unused_since);

private:
    /// What the request is entitled to.
    struct admitted
    {
        /// For whom it is made.
        core::organisation_name organisation;
        /// Keeps the route and the service alive.
        core::rcu_cell<document::document>::pointer document;
        /// The route, in the document.
        document::route_settings const* route = nullptr;
        /// When the caller stops waiting.
        core::time_point deadline;
        /// Whether another attempt may follow one that can have run.
        bool repeatable = false;
    };

    core::result<admitted, answer_reason> admit(call const& call) const;
    asio::awaitable<http_response> forward(call& call, admitted const& grant);
    asio::awaitable<attempt>
    run_attempt(call& call, admitted const& grant, upstream_pool& pool);
    http_response entries_answer(core::organisation_name const&) const;
    boost::intrusive_ptr<upstream_pool> pick(core::service_name const& service,
                                             upstream_pool const* not_this);
    boost::intrusive_ptr<upstream_pool> pool_of(listed_instance const& target);

    /// Runs the connections.
    asio::io_context& context_;
    /// What all threads share.
    instance_state& state_;
    /// Most connections of this worker to one upstream.
    std::size_t const connection_limit_;
    /// Pools by endpoint.
    std::map<tcp::endpoint, boost::intrusive_ptr<upstream_pool>> pools_;
    /// Position of the next pick.
    std::size_t next_ = 0;
};

} // namespace kumquatloom::entry

#endif
