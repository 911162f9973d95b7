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

/// Routine lines a second, and how many may come at once. A request that goes
/// well has three lines; four times the load of today's heaviest day on one
/// instance still fits.
constexpr double routine_lines_per_s = 300;
constexpr double routine_burst = 600;

/// The sink of the process; null before logging was configured.
std::shared_ptr<log_sink>& process_sink()
{
    static std::shared_ptr<log_sink> sink;
    return sink;
}

/// Who writes the lines.
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

/// Sends finished lines to the sink, since easylogging++'s own console output
/// can block.
class sink_dispatcher : public el::LogDispatchCallback
{
protected:
    void handle(el::LogDispatchData const* data) override
    {
        auto const& sink = process_sink();
        if (!sink)
            return;
        sink->write(data->logMessage()->message());
        // Lines other than routine ones are rare and wanted at once.
        if (data->logMessage()->level() != el::Level::Trace)
            sink->flush();
    }
};

/// Bounds the routine lines.
class routine_bound
{
public:
    /// Whether another line may be written.
    bool admit(time_point now)
    {
        std::lock_guard const lock(mutex_);
        std::chrono::duration<double> const passed = now - last_;
        last_ = now;
        tokens_ = std::min(routine_burst,
                           tokens_ + passed.count() * routine_lines_per_s);
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    /// Protects the members below.
    std::mutex mutex_;
    /// Lines that may be written now.
    double tokens_ = routine_burst;
    /// When lines were last added.
    time_point last_ = clock::now();
};

std::atomic<std::uint64_t> left_out{0};
/// Whether the level admits routine lines.
std::atomic<bool> routine_wanted{false};

std::string line(std::string_view level,
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
    auto const enable = [&](el::Level which, bool enabled)
    {
        configuration.set(
            which, el::ConfigurationType::Enabled, enabled ? "true" : "false");
    };
    bool const wants_info = level == "debug" || level == "info";
    enable(el::Level::Debug, level == "debug");
    enable(el::Level::Trace, wants_info);
    routine_wanted = wants_info;
    enable(el::Level::Info, wants_info);
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
    LOG(INFO) << line("info", event, fields);
}

void log_warning(std::string_view event,
                 std::initializer_list<log_field> fields)
{
    LOG(WARNING) << line("warning", event, fields);
}

void log_error(std::string_view event, std::initializer_list<log_field> fields)
{
    LOG(ERROR) << line("error", event, fields);
}

void log_rate_limited(std::string_view event,
                      std::initializer_list<log_field> fields)
{
    static routine_bound bound;
    if (!routine_wanted.load(std::memory_order_relaxed))
        return;
    if (bound.admit(clock::now()))
        LOG(TRACE) << line("info", event, fields);
    else
        left_out.fetch_add(1, std::memory_order_relaxed);
}

void flush_log()
{
    if (auto const& sink = process_sink())
        sink->flush();
}

std::uint64_t dropped_log_lines()
{
    auto const& sink = process_sink();
    return left_out.load(std::memory_order_relaxed) +
           (sink ? sink->dropped() : 0);
}

} // namespace kumquatloom::core
