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

    /// Talks to the log at `server`.
    explicit log_client(settings::endpoint server,
                        http_client_settings settings = {});

    /// Reads at most `max` records from an offset on; waits up to `wait` for
    /// the first one. The records are consecutive and start at `from`, and
    /// the page is refused otherwise.
    boost::asio::awaitable<read_result>
    read(core::log_offset from,
         std::size_t max,
         std::chrono::milliseconds wait = {}) const;

    /// Reads which offsets the log holds, without records.
    boost::asio::awaitable<read_result> read_range() const;

    /// Appends a record's text. It is not repeated here: a caller that appends
    /// again after an unknown outcome uses the same record with the same id.
    boost::asio::awaitable<append_result> append(std::string record) const;

    /// Looks for the record with the id, from an offset to the end of the log,
    /// which resolves an append with unknown outcome. Nothing found means that
    /// it is not in the log yet.
    boost::asio::awaitable<find_result> find(std::string id,
                                             core::log_offset from) const;

private:
    /// Does the exchanges.
    http_client client_;
};

/// Parses a page and checks that it answers a read from the offset; nothing if
/// it has another form.
std::optional<document::log_page>
parse_log_page(std::string_view text, core::log_offset from, std::size_t max);

} // namespace kumquatloom::log_service

#endif
