#ifndef KUMQUATLOOM_LOG_SERVICE_LOG_CLIENT_HPP
#define KUMQUATLOOM_LOG_SERVICE_LOG_CLIENT_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/document/log_page.hpp>
#include <kumquatloom/log_service/error.hpp>
#include <kumquatloom/log_service/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::log_service
{

/// Client of the platform's append-only log.
class log_client
{
public:
    /// Result of a read.
    using read_result = core::result<document::log_page, read_error>;
    /// Result of an append: the record's offset.
    using append_result = core::result<core::log_offset, append_error>;
    /// Result of a search: the record's offset, if the log holds it.
    using find_result =
        core::result<std::optional<core::log_offset>, read_error>;

    /// Creates a client of the log at `server`. Each request opens a connection
    /// of its own.
    explicit log_client(settings::endpoint server,
                        http_client_settings settings = {});

    /// Reads at most `max` records from the offset `from` on; waits up to
    /// `wait` for the first one. A page whose records are not consecutive or do
    /// not start at `from` is an error.
    boost::asio::awaitable<read_result>
    read(core::log_offset from,
         std::size_t max,
         std::chrono::milliseconds wait = {}) const;

    /// Reads the range of offsets in the log, without records.
    boost::asio::awaitable<read_result> read_range() const;

    /// Appends the text of a record, without retries. After an unknown outcome,
    /// the caller may append the same record with the same id again.
    boost::asio::awaitable<append_result> append(std::string record) const;

    /// Searches for the record with the id, from an offset to the end of the
    /// log. After an append with an unknown outcome, a found record confirms
    /// the append; an absent one may still be appended later.
    boost::asio::awaitable<find_result> find(std::string id,
                                             core::log_offset from) const;

private:
    /// Sends the requests.
    http_client client_;
};

/// Parses a page of the log and checks that its records are consecutive, start
/// at `from` and are at most `max`. Returns nothing if the page is malformed or
/// fails a check.
std::optional<document::log_page>
parse_log_page(std::string_view text, core::log_offset from, std::size_t max);

} // namespace kumquatloom::log_service

#endif
