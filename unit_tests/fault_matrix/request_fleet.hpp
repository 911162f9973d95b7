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

/// One cell of the request matrix: the actions of a service's two upstreams.
struct upstream_pair
{
    upstream_action first;
    upstream_action second;
};

/// The response to one request as its caller received it, and the number of
/// executions at the upstreams.
struct request_record
{
    upstream_pair pair;
    /// Identifies the request at the upstreams.
    std::string operation;
    /// Whether the request is a POST, which must run at most once.
    bool is_post = false;
    /// Whether the caller got a response at all.
    bool has_response = false;
    /// Value of `Kumquatloom-Outcome`; empty if the field is missing.
    std::string outcome;
    /// Whether the response is complete and belongs to the request; true unless
    /// the status is 200.
    bool own_response = false;
    /// Executions at both upstreams together.
    unsigned executions = 0;
};

/// An entry instance with one service for each pair of upstream actions. All
/// parts run in this process and communicate over the loopback interface.
class request_fleet
{
public:
    /// Starts the upstreams, the instance list and the entry instance.
    request_fleet();
    ~request_fleet();

    /// Sends a GET and then a POST to each service, `rounds` times, to all
    /// services concurrently. Returns a record of each request.
    std::vector<request_record> run(unsigned rounds);

private:
    void start_upstreams();
    void start_instance();
    // Not in a coroutine: there g++ 12 destroys an aggregate that is created
    // from a literal twice.
    settings::endpoint callers_address() const;
    boost::asio::awaitable<void> wait_until_ready();
    boost::asio::awaitable<void> run_service(upstream_pair pair,
                                             unsigned rounds);
    boost::asio::awaitable<void>
    run_request(upstream_pair pair, bool is_post, unsigned round);

    /// Runs the upstreams, the instance list and the callers.
    boost::asio::io_context context_{1};
    /// Executions by operation.
    execution_counts executions_;
    /// One upstream for each action, shared by the services.
    std::vector<std::unique_ptr<scripted_upstream>> upstreams_;
    /// The instance list, with the upstreams of all services.
    std::unique_ptr<stand_ins::instance_list_stand_in> list_;
    /// The instance under test.
    std::unique_ptr<entry::entry_instance> instance_;
    std::vector<request_record> records_;
    /// Number of services whose requests have not ended.
    unsigned running_ = 0;
};

} // namespace kumquatloom::fault_matrix

#endif
