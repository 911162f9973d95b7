#ifndef KUMQUATLOOM_SOAK_SOAK_CHECKS_HPP
#define KUMQUATLOOM_SOAK_SOAK_CHECKS_HPP

#include <kumquatloom/core/clock.hpp>

#include <cstddef>
#include <memory>
#include <soak/request_ledger.hpp>
#include <soak/soak_settings.hpp>
#include <soak/soak_upstream.hpp>
#include <string>
#include <vector>

namespace kumquatloom::soak
{

class soak_instance;
class soak_platform;

/// Checks the platform's promises about single requests, from what callers and
/// upstreams see.
class soak_checks
{
public:
    /// How a caller's wait has ended.
    struct caller_view
    {
        std::string id;
        std::size_t instance = 0;
        /// When the last byte of the request was sent.
        core::time_point sent;
        /// Starts of the instance's process until then.
        std::size_t starts = 0;
    };

    /// The ledger must outlive the checks.
    soak_checks(soak_settings const& settings, request_ledger& ledger);

    /// What is checked; both must outlive the checks.
    void watch(soak_platform& platform,
               std::vector<std::unique_ptr<soak_instance>>& instances);

    /// A request has arrived at an upstream.
    void arrived(std::string const& id,
                 sent_request const& sent,
                 soak_upstream const& upstream);

    /// An upstream has worked on a request to the end.
    void worked(std::string const& id,
                sent_request const& sent,
                soak_upstream const& upstream);

    /// A caller has got a whole answer.
    void answered(caller_view const& view,
                  known_answer const& answer,
                  bool may_come_back);

    /// The connection has ended without an answer.
    void cut_off(caller_view const& view);

    /// No answer has come within the time of the route and of the caller.
    void unanswered(caller_view const& view);

    /// The process of an instance has ended.
    void ended(soak_instance& instance, std::size_t number);

private:
    bool in_touch(std::size_t instance, core::time_point from) const;
    bool link_is_calm(soak_upstream const& upstream,
                      core::time_point from) const;
    void check_route(std::string const& id,
                     sent_request const& sent,
                     soak_upstream const& upstream);
    void check_drain(std::string const& id,
                     sent_request const& sent,
                     soak_upstream const& upstream);
    void check_denial(caller_view const& view,
                      sent_request const& sent,
                      unsigned status);

    /// What is checked.
    soak_settings settings_;
    request_ledger& ledger_;
    soak_platform* platform_ = nullptr;
    std::vector<std::unique_ptr<soak_instance>>* instances_ = nullptr;
    /// Requests that reached or occupied an upstream after their caller left.
    std::size_t late_arrivals_ = 0;
    std::size_t vain_work_ = 0;
};

} // namespace kumquatloom::soak

#endif
