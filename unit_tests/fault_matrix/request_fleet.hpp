#ifndef KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_REQUEST_FLEET_HPP
#define KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_REQUEST_FLEET_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <stand_ins/http_types.hpp>
#include <string>
#include <unit_tests/fault_matrix/scripted_upstream.hpp>
#include <unit_tests/fault_matrix/upstream_action.hpp>
#include <vector>

namespace kumquatloom::entry
{
class entry_instance;
}

namespace kumquatloom::stand_ins
{
class instance_list_stand_in;
}

namespace kumquatloom::fault_matrix
{

/// One cell of the request part: the actions of a service's two upstreams.
struct upstream_pair
{
    /// What the first upstream does.
    upstream_action first;
    /// What the second one does.
    upstream_action second;
};

/// What a caller saw of one request, beside what the upstreams ran.
struct request_record
{
    /// The service's upstreams.
    upstream_pair pair;
    /// Name of the operation.
    std::string operation;
    /// Whether the request is a POST, which must run at most once.
    bool is_post = false;
    /// Whether the caller got an answer at all.
    bool answered = false;
    /// The declared outcome, empty without one.
    std::string outcome;
    /// Whether a completed answer was whole and the caller's own.
    bool own_answer = false;
    /// Executions over both upstreams.
    unsigned executions = 0;
};

/// An entry instance before one service for each pair of actions, all on
/// loopback and in this process.
class request_fleet
{
public:
    /// Starts the upstreams, the list and the instance.
    request_fleet();
    ~request_fleet();

    /// Sends a GET and a POST to each service, `rounds` times one after the
    /// other, all services at the same time. Returns what was seen.
    std::vector<request_record> run(unsigned rounds);

private:
    void start_upstreams();
    void start_instance();
    // Not in a coroutine: g++ 12 destroys an aggregate that is made there from
    // a literal twice.
    settings::endpoint callers_address() const;
    boost::asio::awaitable<void> wait_until_ready();
    boost::asio::awaitable<void> run_service(upstream_pair pair,
                                             unsigned rounds);
    boost::asio::awaitable<void>
    run_request(upstream_pair pair, bool is_post, unsigned round);

    /// Runs upstreams, list and callers.
    boost::asio::io_context context_{1};
    /// Executions by operation.
    execution_counts executions_;
    /// One upstream for each action.
    std::vector<std::unique_ptr<scripted_upstream>> upstreams_;
    /// Lists the upstreams of all services.
    std::unique_ptr<stand_ins::instance_list_stand_in> list_;
    /// The instance under test.
    std::unique_ptr<entry::entry_instance> instance_;
    /// Everything that was seen.
    std::vector<request_record> records_;
    /// Services whose requests have not ended.
    unsigned running_ = 0;
};

} // namespace kumquatloom::fault_matrix

#endif
