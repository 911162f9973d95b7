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

/// Status of an instance.
struct instance_status
{
    /// Name of the instance; its address if the status contains no name.
    std::string name;
    /// Version of the document that is in force on the instance.
    core::log_offset document_version = 0;
};

/// A document or a part of it, as returned by an instance.
struct fetched_document
{
    /// Version of the document.
    core::log_offset version = 0;
    /// The document or part as JSON text.
    std::string text;
};

/// Why a request to an instance failed.
struct operator_failure
{
    /// Reason to show to the operator.
    std::string reason;
};

/// Client of the operators' port of an instance.
class operator_client
{
public:
    /// Creates a client of the instance at `address`. Each request opens a
    /// connection of its own. The default timeout is long because an instance
    /// responds to an edit only after it has read the edit back from the log.
    explicit operator_client(
        settings::endpoint address,
        std::chrono::milliseconds timeout = std::chrono::seconds(15));

    /// Sends `GET /status`.
    core::result<instance_status, operator_failure> status() const;

    /// Sends `GET /document`. `part` selects one part of the document; if it is
    /// empty, the whole document is returned.
    core::result<fetched_document, operator_failure>
    document(std::string const& part) const;

    /// Sends `POST /document/edits`.
    document::edit_report append(document::edit_record const& edit) const;

private:
    /// Returns the body of a response with status 200.
    core::result<std::string, operator_failure> fetch(std::string target) const;

    /// Sends the requests.
    log_service::http_client client_;
};

} // namespace kumquatloom::cli

#endif
