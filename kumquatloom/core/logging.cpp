#include <kumquatloom/core/logging.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <easylogging++.h>

#include <chrono>
#include <iostream>

namespace kumquatloom::core
{

namespace
{

/// Sends finished lines to standard error, since easylogging++'s own console
/// output goes to standard output, which belongs to the commands.
class standard_error_dispatcher : public el::LogDispatchCallback
{
protected:
    void handle(el::LogDispatchData const* data) override
    {
        std::cerr << data->logMessage()->message() + "\n" << std::flush;
    }
};

std::string line(std::string_view level,
                 std::string_view event,
                 std::initializer_list<log_field> fields)
{
    using namespace std::chrono;
    auto const since_epoch = system_clock::now().time_since_epoch();
    boost::json::object object;
    object["time_ms"] = duration_cast<milliseconds>(since_epoch).count();
    object["level"] = level;
    object["event"] = event;
    for (auto const& field : fields)
        object[field.name] = field.value;
    return boost::json::serialize(object);
}

} // namespace

void configure_logging(std::string_view level)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.set(el::Level::Debug,
                      el::ConfigurationType::Enabled,
                      level == "debug" ? "true" : "false");
    configuration.set(el::Level::Info,
                      el::ConfigurationType::Enabled,
                      level == "debug" || level == "info" ? "true" : "false");
    configuration.set(el::Level::Warning,
                      el::ConfigurationType::Enabled,
                      level != "error" ? "true" : "false");
    el::Loggers::reconfigureLogger("default", configuration);
    el::Helpers::installLogDispatchCallback<standard_error_dispatcher>(
        "standard_error");
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

} // namespace kumquatloom::core
