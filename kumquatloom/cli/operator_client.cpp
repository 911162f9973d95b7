#include <kumquatloom/cli/blocking.hpp>
#include <kumquatloom/cli/operator_client.hpp>
#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/log_record.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <limits>
#include <utility>

namespace kumquatloom::cli
{

namespace
{

constexpr std::uint64_t max_offset = std::numeric_limits<std::int64_t>::max();
constexpr unsigned status_ok = 200;
constexpr std::size_t max_document_bytes = 256 * 1024 * 1024;

/// Reads the version from a response; nothing if it is missing.
std::optional<core::log_offset> read_version(boost::json::value const& value,
                                             std::string_view key)
{
    core::fault_list faults;
    core::json_reader reader(value, "", faults);
    auto const version = reader.number(key, 0, max_offset);
    if (!faults.empty())
        return std::nullopt;
    return version;
}

/// Reads the instance's name from a status page, where `instance` is a string
/// or an object with an `id`. Empty if it is missing.
std::string read_name(boost::json::value const& value)
{
    auto const* const object = value.if_object();
    auto const* name = object ? object->if_contains("instance") : nullptr;
    if (name != nullptr && name->is_object())
        name = name->get_object().if_contains("id");
    return name != nullptr && name->is_string()
               ? std::string(name->get_string())
               : std::string();
}

} // namespace

operator_client::operator_client(settings::endpoint address,
                                 std::chrono::milliseconds timeout)
    : client_(std::move(address), {timeout, max_document_bytes})
{
}

core::result<instance_status, operator_failure> operator_client::status() const
{
    auto body = fetch("/status");
    if (!body)
        return body.error();
    core::fault_list faults;
    auto const value = core::parse_json(body.value(), faults);
    auto const version = value ? read_version(*value, "document_version")
                               : std::optional<core::log_offset>();
    if (!version)
        return operator_failure{std::string("its status contains no version")};
    instance_status status;
    status.name = read_name(*value);
    if (status.name.empty())
        status.name = settings::to_string(client_.server());
    status.document_version = *version;
    return status;
}

core::result<fetched_document, operator_failure>
operator_client::document(std::string const& part) const
{
    auto body = fetch("/document");
    if (!body)
        return body.error();
    core::fault_list faults;
    auto const value = core::parse_json(body.value(), faults);
    auto const version = value ? read_version(*value, "version")
                               : std::optional<core::log_offset>();
    auto const* const full_document =
        version ? value->get_object().if_contains("document") : nullptr;
    if (full_document == nullptr || !full_document->is_object())
        return operator_failure{std::string("its response is malformed")};
    auto const& object = full_document->get_object();
    auto const* selected = full_document;
    if (part == document::owners_part || part == document::fleet_part)
        selected = object.if_contains(part);
    else if (!part.empty())
    {
        auto const* const sections = object.if_contains("sections");
        selected = sections && sections->is_object()
                       ? sections->get_object().if_contains(part)
                       : nullptr;
    }
    if (selected == nullptr)
        return operator_failure{"there is no section " + part};
    return fetched_document{*version, boost::json::serialize(*selected)};
}

document::edit_report
operator_client::append(document::edit_record const& edit) const
{
    document::edit_report report;
    report.id = edit.id;
    auto const response =
        run_blocking(client_.post("/document/edits", document::to_text(edit)));
    if (!response)
    {
        if (response.error() == log_service::http_error::not_connected)
            report.result = document::edit_result::rejected;
        report.reason = "the instance did not respond (" +
                        std::string(log_service::to_string(response.error())) +
                        ')';
        return report;
    }
    auto const parsed = document::parse_edit_report(response.value().body);
    // Ignore a report about another record.
    if (parsed && parsed->id == edit.id)
        return *parsed;
    report.reason = "the instance responded with status " +
                    std::to_string(response.value().status);
    return report;
}

core::result<std::string, operator_failure>
operator_client::fetch(std::string target) const
{
    auto response = run_blocking(client_.fetch(std::move(target)));
    if (!response)
        return operator_failure{
            "no response (" +
            std::string(log_service::to_string(response.error())) + ')'};
    if (response.value().status != status_ok)
        return operator_failure{"status " +
                                std::to_string(response.value().status)};
    return std::move(response.value().body);
}

} // namespace kumquatloom::cli
