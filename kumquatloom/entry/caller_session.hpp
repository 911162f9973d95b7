#ifndef KUMQUATLOOM_ENTRY_CALLER_SESSION_HPP
#define KUMQUATLOOM_ENTRY_CALLER_SESSION_HPP

#include <kumquatloom/document/document.hpp>
#include <kumquatloom/entry/http_types.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>

namespace kumquatloom::entry
{

struct instance_state;
class proxy_handler;
class call;

/// Links a session into the list of its worker.
using session_hook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One connection of a caller: reads requests one after the other and answers
/// each completely before the next.
class caller_session
    : public boost::intrusive_ref_counter<caller_session,
                                          boost::thread_unsafe_counter>,
      public session_hook
{
public:
    /// Takes over an accepted connection.
    caller_session(tcp::socket socket,
                   instance_state& state,
                   proxy_handler& handler);
    ~caller_session();

    /// Serves the connection to its end, and keeps the session alive.
    static asio::awaitable<void> run(boost::intrusive_ptr<caller_session> self);

    /// Closes the connection now if no request is being read or answered,
    /// otherwise after the answer.
    void finish();

    /// Closes the connection without an answer.
    void abort();

private:
    using parser_type = http::request_parser<http::string_body>;

    asio::awaitable<bool> serve_one();
    asio::awaitable<bool> wait_for_request();
    bool has_arrived();
    asio::awaitable<bool> read_request(parser_type& parser);
    asio::awaitable<error_code> read_header(parser_type& parser);
    asio::awaitable<bool> allow_body(parser_type& parser);
    asio::awaitable<bool> answer(parser_type& parser);
    asio::awaitable<bool> write(http_response& response, bool keep_alive);
    asio::awaitable<void> refuse(error_code error, parser_type const& parser);
    asio::awaitable<void> close();
    void watch_for_disconnect(call& current);
    document::caller_limits limits() const;

    /// The connection with its timer.
    beast::tcp_stream stream_;
    /// Bytes that were read and not parsed yet.
    beast::flat_buffer buffer_;
    /// What all threads share.
    instance_state& state_;
    /// Answers the requests.
    proxy_handler& handler_;
    /// The request that is being answered.
    call* current_ = nullptr;
    /// Whether nothing of a next request has arrived.
    bool idle_ = true;
    /// Whether the connection ends after the current answer.
    bool finishing_ = false;
};

} // namespace kumquatloom::entry

#endif
