#ifndef KUMQUATLOOM_CLI_LOG_SESSION_HPP
#define KUMQUATLOOM_CLI_LOG_SESSION_HPP

#include <kumquatloom/document/document_reducer.hpp>
#include <kumquatloom/document/edit_report.hpp>
#include <kumquatloom/document/log_follower.hpp>
#include <kumquatloom/log_service/log_client.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace kumquatloom::cli
{

/// Local copy of the replicated state, built by reading the log. It does not
/// track ejections and therefore cannot verify snapshots.
class log_session
{
public:
    /// Creates an empty copy of the state of the log at `log`; read_to_end()
    /// connects.
    explicit log_session(settings::endpoint log);

    /// Reads the log to its end; returns the reason if this fails.
    std::optional<std::string> read_to_end();

    /// Returns the state built from the records read so far.
    document::document_reducer const& reducer() const
    {
        return reducer_;
    }

    /// Appends an edit and reads the log until the outcome of the edit is known
    /// or the timeout expires.
    document::edit_report append(document::edit_record const& edit,
                                 std::chrono::milliseconds timeout);

private:
    /// Reads the log until the outcome of the edit that `report` names is
    /// known. Returns `report` unchanged if the timeout expires first.
    document::edit_report wait_for(document::edit_report report,
                                   std::chrono::milliseconds timeout);

    /// Client of the log.
    log_service::log_client client_;
    /// State built from the records.
    document::document_reducer reducer_;
    /// Determines which records to read and applies them in order.
    document::log_follower follower_;
};

} // namespace kumquatloom::cli

#endif
