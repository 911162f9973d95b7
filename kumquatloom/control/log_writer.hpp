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

/// Result of an append of one of the instance's records.
enum class append_result : std::uint8_t
{
    /// The log accepted the record.
    appended,
    /// The log did not append the record.
    failed,
    /// The response was lost, so the record may have been appended.
    unknown,
    /// The record was dropped, because the queue was full or the record was no
    /// longer needed.
    discarded,
    /// Number of results.
    count
};

/// The name of a result, for metric labels.
std::string_view to_string(append_result result);

/// Appends the instance's records to the log: ejections, readmissions and
/// snapshots. Applies the rate limit and the backoff of the append policy.
class log_writer
{
public:
    /// The client must outlive the writer.
    log_writer(boost::asio::io_context& context,
               log_service::log_client const& client,
               document::append_settings settings);

    /// Runs until stop().
    boost::asio::awaitable<void> run();

    /// Ends run().
    void stop();

    /// Queues a record. `still_needed` is called before each attempt; if it
    /// returns false, because the record is in the log already, is out of date
    /// or is no longer for this instance to write, the record is discarded.
    void append(std::string record, std::function<bool()> still_needed);

    /// Updates the number of instances that share the fleet's append rate.
    void update_instance_count(unsigned instances);

    /// Number of queued records.
    std::size_t waiting() const
    {
        return queue_.size();
    }

    /// Number of appends for each result.
    core::counter_family<append_result> const& results() const
    {
        return results_;
    }

private:
    /// A record that waits to be appended.
    struct queued_record
    {
        /// The record as JSON text.
        std::string text;
        /// Whether the record still has to be appended.
        std::function<bool()> still_needed;
    };

    /// Maximum queue length. Further records are discarded; the instance
    /// proposes them again later.
    static constexpr std::size_t max_queued = 256;

    boost::asio::awaitable<void> append_first();

    /// Client of the log.
    log_service::log_client const& client_;
    /// Settings of the append policy.
    document::append_settings settings_;
    /// Limits the rate of appends.
    document::append_policy policy_;
    /// Queued records, the oldest first.
    std::deque<queued_record> queue_;
    /// Schedules the next attempt.
    boost::asio::steady_timer timer_;
    /// Whether stop() was called.
    bool stopped_ = false;
    /// Number of appends for each result.
    core::counter_family<append_result> results_;
};

} // namespace kumquatloom::control

#endif
