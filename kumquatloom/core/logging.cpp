#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/log_sink.hpp>
#include <kumquatloom/core/logging.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <easylogging++.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <unistd.h>
#include <variant>

namespace kumquatloom::core
{

namespace
{

/// Token bucket of log_rate_limited(). A successful request writes three lines;
/// the rate admits four times the load of one instance on the busiest day.
constexpr double rate_limited_lines_per_s = 300;
constexpr double rate_limited_burst_lines = 600;

/// The sink of the process; null until logging is configured.
std::shared_ptr<log_sink>& process_sink()
{
    static std::shared_ptr<log_sink> sink;
    return sink;
}

/// The process that writes the log.
struct log_identity
{
    /// Name of the instance.
    std::string instance;
    /// Its incarnation.
    std::uint64_t incarnation = 0;
};

log_identity& process_identity()
{
    static log_identity identity;
    return identity;
}

/// Sends formatted lines to the sink, because the console output of
/// easylogging++ can block.
class sink_dispatcher : public el::LogDispatchCallback
{
protected:
    void handle(el::LogDispatchData const* data) override
    {
        auto const& sink = process_sink();
        if (!sink)
            return;
        sink->write(data->logMessage()->message());
        // Rate-limited lines, which have the level Trace, are written in
        // groups. Other lines are rare and written at once.
        if (data->logMessage()->level() != el::Level::Trace)
            sink->flush();
    }
};

/// Token bucket that limits the rate of log lines. Thread-safe.
class line_rate_limiter
{
public:
    /// Takes a token; false if none is left.
    bool try_acquire(time_point now)
    {
        std::lock_guard const lock(mutex_);
        std::chrono::duration<double> const elapsed = now - last_refill_;
        last_refill_ = now;
        tokens_ =
            std::min(rate_limited_burst_lines,
                     tokens_ + elapsed.count() * rate_limited_lines_per_s);
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    /// Protects the members below.
    std::mutex mutex_;
    /// Number of lines that may be written now.
    double tokens_ = rate_limited_burst_lines;
    /// Time of the last refill.
    time_point last_refill_ = clock::now();
};

/// Lines that the rate limit suppressed.
std::atomic<std::uint64_t> suppressed_lines{0};
/// Whether the log level includes rate-limited lines.
std::atomic<bool> rate_limited_enabled{false};

/// A log line as JSON text.
std::string format_line(std::string_view level,
                        std::string_view event,
                        std::initializer_list<log_field> fields)
{
    using namespace std::chrono;
    auto const since_epoch = system_clock::now().time_since_epoch();
    boost::json::object object;
    object.reserve(fields.size() + 5);
    object["time_ms"] = duration_cast<milliseconds>(since_epoch).count();
    object["level"] = level;
    object["event"] = event;
    if (auto const& self = process_identity(); !self.instance.empty())
    {
        object["instance"] = self.instance;
        object["incarnation"] = self.incarnation;
    }
    for (auto const& field : fields)
        std::visit(
            [&](auto const& value)
            {
                object[field.name] = value;
            },
            field.value.content());
    return boost::json::serialize(object);
}

} // namespace

void configure_logging(std::string_view level, log_output output)
{
    process_sink() = std::make_shared<log_sink>(
        output == log_output::standard_output ? STDOUT_FILENO : STDERR_FILENO);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    auto const enable = [&](el::Level target, bool enabled)
    {
        configuration.set(
            target, el::ConfigurationType::Enabled, enabled ? "true" : "false");
    };
    bool const includes_info = level == "debug" || level == "info";
    enable(el::Level::Debug, level == "debug");
    enable(el::Level::Trace, includes_info);
    rate_limited_enabled = includes_info;
    enable(el::Level::Info, includes_info);
    enable(el::Level::Warning, level != "error");
    el::Loggers::reconfigureLogger("default", configuration);
    el::Helpers::installLogDispatchCallback<sink_dispatcher>("sink");
}

void configure_log_identity(std::string_view instance,
                            std::uint64_t incarnation)
{
    process_identity() = {std::string(instance), incarnation};
}

void log_info(std::string_view event, std::initializer_list<log_field> fields)
{
    LOG(INFO) << format_line("info", event, fields);
}

void log_warning(std::string_view event,
                 std::initializer_list<log_field> fields)
{
    LOG(WARNING) << format_line("warning", event, fields);
}

void log_error(std::string_view event, std::initializer_list<log_field> fields)
{
    LOG(ERROR) << format_line("error", event, fields);
}

void log_rate_limited(std::string_view event,
                      std::initializer_list<log_field> fields)
{
    static line_rate_limiter limiter;
    if (!rate_limited_enabled.load(std::memory_order_relaxed))
        return;
    if (limiter.try_acquire(clock::now()))
        LOG(TRACE) << format_line("info", event, fields);
    else
        suppressed_lines.fetch_add(1, std::memory_order_relaxed);
}

void flush_log()
{
    if (auto const& sink = process_sink())
        sink->flush();
}

std::uint64_t dropped_log_lines()
{
    auto const& sink = process_sink();
    return suppressed_lines.load(std::memory_order_relaxed) +
           (sink ? sink->dropped() : 0);
}

} // namespace kumquatloom::core
