#ifndef KUMQUATLOOM_ENTRY_CALLER_SESSION_HPP
#define KUMQUATLOOM_ENTRY_CALLER_SESSION_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_budget.hpp>
#include <kumquatloom/limits/connection_shedding.hpp>
#include <kumquatloom/limits/connection_turn.hpp>
#include <kumquatloom/limits/transfer_progress.hpp>
#include <kumquatloom/log_service/receive_buffer.hpp>
#include <kumquatloom/request/pipeline_state.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace kumquatloom::entry
{

struct instance_state;
struct read_ahead_state;
class message_memory;
class proxy_handler;
class inbound_request;
class pipelined_request;

/// Links a session into its listener's list.
using session_hook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One connection from a caller. Requests behind the first are read ahead and
/// executed beside it as far as request::pipeline_state and
/// limits::pipeline_window() allow. Responses keep the order of the requests.
class caller_session
    : public boost::intrusive_ref_counter<caller_session,
                                          boost::thread_unsafe_counter>,
      public session_hook
{
public:
    caller_session(tcp::socket socket,
                   instance_state& state,
                   proxy_handler& handler);
    ~caller_session();

    /// Lets the connection reserve memory for requests with `messages`, and
    /// gives it the memory reserved for itself.
    void join(message_memory& messages,
              memory_budget::reservation connection_memory)
    {
        messages_ = &messages;
        connection_memory_ = std::move(connection_memory);
    }

    /// Serves requests until the connection ends. The coroutine keeps the
    /// session alive.
    static asio::awaitable<void> run(boost::intrusive_ptr<caller_session> self);

    /// Closes the connection now if it is idle, otherwise after the responses
    /// to the requests that have started.
    void finish();

    /// Ends the requests in progress without waiting for their upstreams. The
    /// caller gets responses that state whether the requests may have run.
    void stop_request();

    /// Closes the connection immediately, without a response.
    void abort();

    /// What the connection does, for the choice of those that are closed when
    /// room is short.
    limits::connection_activity const& activity();

    /// Closes the connection, whose request has not been read completely, to
    /// make room for another one.
    void displace();

    /// Refuses the request that is being read, or ends the response that is
    /// being written, to free its memory.
    void refuse_for_memory();

private:
    using parser_type = http::request_parser<http::string_body>;

    class run_scope;

    asio::awaitable<bool> serve_request();
    asio::awaitable<bool> serve_pipelined();
    asio::awaitable<bool> wait_for_request();
    bool has_unread_data();
    asio::awaitable<bool> read_request(parser_type& parser);
    asio::awaitable<error_code> read_header(parser_type& parser);
    error_code parse_header(parser_type& parser);
    void enter(limits::connection_phase phase);
    bool reserve_memory(parser_type const& parser);
    asio::awaitable<bool> reserve_body(parser_type const& parser);
    core::time_point memory_wait_end(parser_type const& parser) const;
    asio::awaitable<bool> send_continue(parser_type& parser);
    asio::awaitable<bool> respond(inbound_request& current,
                                  bool keep_alive,
                                  pipelined_request* ahead);
    asio::awaitable<bool> write(http_response& response, bool keep_alive);
    asio::awaitable<bool> write_answer(inbound_request& current,
                                       http_response& response,
                                       bool keep_alive);
    void record_written();
    asio::awaitable<void> refuse(error_code error, parser_type const& parser);
    asio::awaitable<void> close();
    document::caller_limits limits() const;

    bool is_ending() const;
    std::size_t window() const;
    bool may_read_ahead() const;
    read_ahead_state& ahead();
    void watch();
    void end_watch();
    void on_readable();
    void continue_soon();
    void continue_ahead();
    void parse_ahead();
    error_code parse_part(parser_type& parser);
    void add_request(parser_type& parser);
    bool start_ahead();
    void start_beside(boost::intrusive_ptr<pipelined_request> const& item);
    static asio::awaitable<void>
    run_beside(boost::intrusive_ptr<caller_session> self,
               boost::intrusive_ptr<pipelined_request> item);
    std::size_t waiting_response_bytes() const;
    void check_later();
    void check_connection();
    void on_disconnect();
    void drop_pipelined();

    beast::tcp_stream stream_;
    /// Bytes that were read but not parsed yet.
    log_service::receive_buffer buffer_;
    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Handles the requests.
    proxy_handler& handler_;
    /// Reserves memory and frees that of others when it is short; null if
    /// nothing does.
    message_memory* messages_ = nullptr;
    /// Memory reserved for the connection itself.
    memory_budget::reservation connection_memory_;
    limits::connection_activity activity_;
    /// Whether the request is refused because its memory is needed.
    bool is_shed_ = false;
    /// Ends a wait for memory when the connection is closed.
    cancellation closed_;
    /// The request whose response is written; null if there is none.
    inbound_request* answered_ = nullptr;
    /// Bytes of the current response that the kernel has accepted, and the rate
    /// at which the caller takes them.
    std::size_t written_bytes_ = 0;
    std::optional<limits::transfer_progress> write_progress_;
    /// Memory reserved for the request until its response has been written.
    memory_budget::reservation memory_;
    /// The request that this session's coroutine executes; null if there is
    /// none.
    inbound_request* current_ = nullptr;
    /// The request in front, if it started ahead; null otherwise.
    pipelined_request* awaited_ = nullptr;
    /// The requests that were read and not answered.
    request::pipeline_state pipeline_;
    /// Turns of this connection in the queues of services.
    limits::connection_turn turn_;
    /// Requests that were read ahead; null unless the caller pipelines.
    std::unique_ptr<read_ahead_state> ahead_;
    /// Invalidates the callbacks of earlier waits when it changes.
    std::uint64_t watch_id_ = 0;
    /// Whether the session waits until the socket is readable.
    bool is_watching_ = false;
    /// Whether data that has arrived was left unread.
    bool has_unread_request_ = false;
    /// Whether the caller has closed the connection or its sending side.
    bool caller_left_ = false;
    /// Whether no byte of the next request has been read.
    bool idle_ = true;
    /// Whether the connection closes after the current response.
    bool finishing_ = false;
    /// Limits on the data that is read and discarded before the connection is
    /// closed. Closing with unread data would reset the connection before the
    /// caller has read the response.
    std::size_t linger_bytes_ = 256 * 1024;
    core::duration linger_time_ = std::chrono::seconds(1);
};

} // namespace kumquatloom::entry

#endif
