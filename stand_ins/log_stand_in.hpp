#ifndef KUMQUATLOOM_STAND_INS_LOG_STAND_IN_HPP
#define KUMQUATLOOM_STAND_INS_LOG_STAND_IN_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <stand_ins/http_service.hpp>
#include <string>

namespace kumquatloom::stand_ins
{

/// How the log behaves; changed while it runs by POST /control.
struct log_stand_in_settings
{
    /// Records that are kept; older ones are dropped.
    std::size_t retained_records = 100000;
    /// Appends that are accepted in one second.
    std::uint64_t appends_per_s = 300;
    /// Whether every request fails.
    bool outage = false;
    /// Delay before every answer.
    std::chrono::milliseconds delay{0};
    /// Number of appends to come that take effect while the reply is lost.
    std::uint64_t lost_replies = 0;
};

/// The platform's append-only log, in memory.
class log_stand_in
{
public:
    /// Listens on the address.
    log_stand_in(boost::asio::io_context& context,
                 settings::endpoint const& listen,
                 log_stand_in_settings const& initial);

    /// The address that was bound.
    settings::endpoint local_endpoint() const
    {
        return service_.local_endpoint();
    }

    /// The behaviour, which may be changed between requests.
    log_stand_in_settings& behaviour()
    {
        return settings_;
    }

    /// Appends a record directly; returns its offset.
    std::uint64_t append(std::string data);

    /// Drops all records from the offset on, as a log that was cut back.
    void truncate(std::uint64_t next);

private:
    boost::asio::awaitable<http_reply> answer(http_request const& request);
    boost::asio::awaitable<http_reply> answer_read(std::string target);
    http_reply answer_append(http_request const& request);
    http_reply answer_control(http_request const& request);
    bool take_append_token();
    std::uint64_t next_offset() const;
    std::string render(std::uint64_t from, std::uint64_t max) const;

    /// Current behaviour.
    log_stand_in_settings settings_;
    /// The kept records; the first one has the offset first_.
    std::deque<std::string> records_;
    /// Offset of the first kept record.
    std::uint64_t first_ = 0;
    /// Appends in the current second.
    std::uint64_t appends_in_second_ = 0;
    /// Start of the current second.
    std::chrono::steady_clock::time_point second_start_;
    /// Answers requests.
    http_service service_;
};

} // namespace kumquatloom::stand_ins

#endif
