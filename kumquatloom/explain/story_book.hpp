#ifndef KUMQUATLOOM_EXPLAIN_STORY_BOOK_HPP
#define KUMQUATLOOM_EXPLAIN_STORY_BOOK_HPP

#include <kumquatloom/explain/failure_cause.hpp>
#include <kumquatloom/explain/request_story.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <string>

namespace kumquatloom::explain
{

/// The stories of all requests in some logs.
class story_book
{
public:
    /// Reads lines to the end of the input. An empty id reads all requests.
    void read(std::istream& input, std::string const& only);

    /// The story of a request; empty if no line names it.
    request_story const& story(std::string const& id) const;

    /// Requests by cause.
    std::array<std::size_t, static_cast<std::size_t>(failure_cause::count)>
    ledger() const;

    /// Requests in the logs.
    std::size_t size() const
    {
        return stories_.size();
    }

    /// Lines that instances report to have dropped.
    std::size_t dropped_lines() const
    {
        return dropped_;
    }

private:
    void mark_interrupted();

    /// When each instance started, in milliseconds since the epoch.
    std::map<std::string, std::int64_t> last_starts_;
    /// Stories by request id.
    std::map<std::string, request_story> stories_;
    /// Lines that were dropped.
    std::size_t dropped_ = 0;
};

} // namespace kumquatloom::explain

#endif
