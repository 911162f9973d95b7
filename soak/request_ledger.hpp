#ifndef KUMQUATLOOM_SOAK_REQUEST_LEDGER_HPP
#define KUMQUATLOOM_SOAK_REQUEST_LEDGER_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <soak/violation.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatloom::soak
{

/// A request as its caller sends it.
struct sent_request
{
    std::string method;
    std::string target;
    std::string body;
    /// Prefix of its route.
    std::string prefix;
    /// Whether it may run more than once.
    bool may_repeat = false;
    /// Number of the instance that it was sent to.
    std::size_t instance = 0;
    /// How long the caller waits.
    std::chrono::milliseconds deadline{0};
    core::time_point sent_at;
};

/// A request as an upstream receives it.
struct received_request
{
    std::string method;
    std::string target;
    std::string body;
    /// Time that the upstream may take; nothing if it was not told.
    std::optional<std::chrono::milliseconds> deadline;
};

/// An answer as an upstream or a caller knows it.
struct known_answer
{
    unsigned status = 0;
    std::string signature;
    std::string body;
};

/// What callers have sent, upstreams have run and callers were told, and which
/// promises that breaks.
class request_ledger
{
public:
    /// A caller begins to send a request.
    void sent(std::string const& id, sent_request request);

    /// A request has reached an upstream. Returns what its caller sent, or
    /// null if no caller did.
    sent_request const* arrived(std::string const& id,
                                received_request const& request,
                                std::string const& upstream);

    /// An upstream begins to work on a request.
    void ran(std::string const& id, std::string const& upstream);

    /// An upstream begins to send its answer.
    void made(std::string const& id, known_answer answer);

    /// A caller has got a whole answer.
    void answered(std::string const& id, known_answer const& answer);

    /// A caller has closed its connection before the answer.
    void left(std::string const& id);

    /// What the caller of a request has sent, or null.
    sent_request const* find(std::string const& id) const;

    /// When the caller of a request closed its connection.
    std::optional<core::time_point> left_at(std::string const& id) const;

    /// Whether the request has reached an upstream.
    bool has_arrived(std::string const& id) const;

    /// Checks what only the end can show.
    void finish();

    /// Adds a broken promise that was found elsewhere.
    void report(std::string promise, std::string detail);

    /// All broken promises.
    std::vector<violation> const& violations() const
    {
        return violations_;
    }

    /// Answers by status; 0 counts requests without any.
    std::map<unsigned, std::size_t> const& statuses() const
    {
        return statuses_;
    }

    /// Requests that were sent.
    std::size_t size() const
    {
        return requests_.size();
    }

private:
    /// All about one request.
    struct history
    {
        sent_request request;
        /// Times that it has reached an upstream, and has run.
        unsigned arrivals = 0;
        unsigned runs = 0;
        std::string first_run_at;
        /// Answers that upstreams have made.
        std::vector<known_answer> made;
        /// Status that its caller got.
        unsigned status = 0;
        std::optional<core::time_point> left_at;
    };

    void check_answer(std::string const& id,
                      history const& known,
                      known_answer const& answer);

    /// Requests by id.
    std::unordered_map<std::string, history> requests_;
    /// See violations().
    std::vector<violation> violations_;
    /// See statuses().
    std::map<unsigned, std::size_t> statuses_;
};

} // namespace kumquatloom::soak

#endif
