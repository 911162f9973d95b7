#ifndef KUMQUATLOOM_STAND_INS_LOG_STAND_IN_HPP
#define KUMQUATLOOM_STAND_INS_LOG_STAND_IN_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <stand_ins/http_server.hpp>
#include <string>

namespace kumquatloom::stand_ins
{

/// Behaviour of the log; POST /control changes it at run time.
struct log_stand_in_settings
{
    /// Number of retained records; older ones are dropped.
    std::size_t retained_records = 100000;
    /// Appends accepted per second.
    std::uint64_t appends_per_s = 300;
    /// Whether every request fails.
    bool outage = false;
    /// Delay before every response.
    std::chrono::milliseconds delay{0};
    /// Number of further appends whose record is stored but whose reply is
    /// lost.
    std::uint64_t lost_replies = 0;
};

/// Stand-in for the platform's append-only log; keeps the records in memory.
class log_stand_in
{
public:
    /// Listens on the address.
    log_stand_in(boost::asio::io_context& context,
                 settings::endpoint const& listen,
                 log_stand_in_settings const& initial);

    /// The bound address.
    settings::endpoint local_endpoint() const
    {
        return server_.local_endpoint();
    }

    /// The behaviour, which may be changed between requests.
    log_stand_in_settings& behaviour()
    {
        return settings_;
    }

    /// Appends a record without a request; returns its offset.
    std::uint64_t append(std::string data);

    /// Simulates a truncated log: removes the record at offset `next` and all
    /// later ones.
    void truncate(std::uint64_t next);

private:
    boost::asio::awaitable<http_reply>
    handle_request(http_request const& request);
    boost::asio::awaitable<http_reply> handle_read(std::string target);
    http_reply handle_append(http_request const& request);
    http_reply handle_control(http_request const& request);
    bool take_append_token();
    std::uint64_t next_offset() const;
    std::string render(std::uint64_t from, std::uint64_t max) const;

    /// Current behaviour.
    log_stand_in_settings settings_;
    /// The retained records.
    std::deque<std::string> records_;
    /// Offset of the first retained record.
    std::uint64_t first_offset_ = 0;
    /// Appends in the current second.
    std::uint64_t appends_in_second_ = 0;
    /// Start of the current second.
    std::chrono::steady_clock::time_point second_start_;
    /// The HTTP server.
    http_server server_;
};

} // namespace kumquatloom::stand_ins

#endif
