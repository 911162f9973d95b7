#ifndef KUMQUATLOOM_CLI_OPERATOR_CLIENT_HPP
#define KUMQUATLOOM_CLI_OPERATOR_CLIENT_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/document/edit_record.hpp>
#include <kumquatloom/document/edit_report.hpp>
#include <kumquatloom/log_service/http_client.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace kumquatloom::cli
{

/// What an instance tells about itself.
struct instance_status
{
    /// Name of the instance; its address if it tells none.
    std::string name;
    /// Version of the document that it acts on.
    core::log_offset document_version = 0;
};

/// The document as an instance shows it.
struct shown_document
{
    /// Its version.
    core::log_offset version = 0;
    /// The document as JSON text.
    std::string text;
};

/// Why an instance gave no usable answer.
struct operator_failure
{
    /// The reason, for operators.
    std::string reason;
};

/// Client of an instance's operators' port.
class operator_client
{
public:
    /// Talks to the instance at `address`. An edit is answered after the
    /// instance has read it back from the log, hence the default timeout.
    explicit operator_client(
        settings::endpoint address,
        std::chrono::milliseconds timeout = std::chrono::seconds(15));

    /// `GET /status`; the reason if it failed.
    core::result<instance_status, operator_failure> status() const;

    /// `GET /document`; the reason if it failed. `part` selects one part.
    core::result<shown_document, operator_failure>
    document(std::string const& part) const;

    /// `POST /document/edits`.
    document::edit_report append(document::edit_record const& edit) const;

private:
    /// Fetches a body with status 200.
    core::result<std::string, operator_failure> fetch(std::string target) const;

    /// Does the exchanges.
    log_service::http_client client_;
};

} // namespace kumquatloom::cli

#endif
