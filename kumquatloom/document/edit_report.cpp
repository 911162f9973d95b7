#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/edit_report.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

namespace kumquatloom::document
{

namespace
{

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::string(text));
}

} // namespace

std::string_view to_string(edit_result result)
{
    switch (result)
    {
    case edit_result::accepted:
        return "accepted";
    case edit_result::rejected:
        return "rejected";
    case edit_result::unknown:
        break;
    }
    return "unknown";
}

edit_report report_of(edit_outcome const& outcome)
{
    edit_report report;
    report.result = outcome.verdict == edit_verdict::accepted
                        ? edit_result::accepted
                        : edit_result::rejected;
    report.id = outcome.id;
    report.outcome = outcome;
    return report;
}

std::string to_text(edit_report const& report)
{
    std::string text = "{\"result\":" + quoted(to_string(report.result));
    text += ",\"id\":" + quoted(report.id);
    if (report.outcome)
        text += ",\"outcome\":" + to_text(*report.outcome);
    return text + ",\"reason\":" + quoted(report.reason) + '}';
}

std::optional<edit_report> parse_edit_report(std::string_view text)
{
    core::fault_list faults;
    auto const value = core::parse_json(text, faults);
    if (!value)
        return std::nullopt;
    core::json_reader reader(*value, "", faults);
    edit_report report;
    auto const result =
        reader.one_of("result", {"accepted", "rejected", "unknown"});
    if (result != "accepted")
        report.result =
            result == "rejected" ? edit_result::rejected : edit_result::unknown;
    else
        report.result = edit_result::accepted;
    report.id = reader.text("id", 0);
    reader.object(
        "outcome",
        [&](core::json_reader& part)
        {
            report.outcome = read_edit_outcome(part);
        },
        false);
    report.reason = reader.text_or("reason", "");
    reader.finish();
    if (!faults.empty())
        return std::nullopt;
    return report;
}

} // namespace kumquatloom::document
