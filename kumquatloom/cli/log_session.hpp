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

/// A command's own copy of the replicated state, read from the log. It does
/// not keep ejections and therefore does not compare snapshots.
class log_session
{
public:
    /// Talks to the log at `log`.
    explicit log_session(settings::endpoint log);

    /// Reads the log to its end; the reason if that failed.
    std::optional<std::string> read_to_end();

    /// The state that was read.
    document::document_reducer const& reducer() const
    {
        return reducer_;
    }

    /// Appends an edit and reads on until its outcome is known or the time is
    /// over.
    document::edit_report append(document::edit_record const& edit,
                                 std::chrono::milliseconds timeout);

private:
    /// Reads until the record was reduced or the time is over.
    document::edit_report wait_for(document::edit_report report,
                                   std::chrono::milliseconds timeout);

    /// Client of the log.
    log_service::log_client client_;
    /// The state.
    document::document_reducer reducer_;
    /// Reads the log in order.
    document::log_follower follower_;
};

} // namespace kumquatloom::cli

#endif
