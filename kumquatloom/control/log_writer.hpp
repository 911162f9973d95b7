#ifndef KUMQUATLOOM_CONTROL_LOG_WRITER_HPP
#define KUMQUATLOOM_CONTROL_LOG_WRITER_HPP

#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/document/append_policy.hpp>
#include <kumquatloom/log_service/log_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace kumquatloom::control
{

/// How an append of the instance itself ended.
enum class write_result : std::uint8_t
{
    appended,
    failed,
    unknown,
    discarded,
    /// Number of results.
    count
};

/// Name of a result, for metric labels.
std::string_view to_string(write_result result);

/// Appends the records that the instance itself writes: ejections,
/// readmissions and snapshots. It keeps to the rate of the append policy and
/// backs off after failures.
class log_writer
{
public:
    /// Appends through the client, which must outlive the writer.
    log_writer(boost::asio::io_context& context,
               log_service::log_client const& client,
               document::append_settings settings);

    /// Runs until stop().
    boost::asio::awaitable<void> run();

    /// Ends run().
    void stop();

    /// Queues a record. `still_wanted` is asked before each attempt, since the
    /// record may be in the log already or be out of date.
    void append(std::string record, std::function<bool()> still_wanted);

    /// Takes over the number of instances that share the fleet's rate.
    void expect_instances(unsigned instances);

    /// Records that wait.
    std::size_t waiting() const
    {
        return queue_.size();
    }

    /// How appends ended.
    core::counter_family<write_result> const& results() const
    {
        return results_;
    }

private:
    /// A record that waits.
    struct queued_record
    {
        /// Its text.
        std::string text;
        /// Whether it is still to be written.
        std::function<bool()> still_wanted;
    };

    /// Most records that wait; more are discarded, and proposed again later.
    static constexpr std::size_t max_waiting = 256;

    boost::asio::awaitable<void> write_first();

    /// The log.
    log_service::log_client const& client_;
    /// Settings of the policy.
    document::append_settings settings_;
    /// Limits the appends.
    document::append_policy policy_;
    /// Records that wait, the oldest first.
    std::deque<queued_record> queue_;
    /// Wakes the next attempt.
    boost::asio::steady_timer timer_;
    /// Whether stop() was called.
    bool stopped_ = false;
    /// How appends ended.
    core::counter_family<write_result> results_;
};

} // namespace kumquatloom::control

#endif
