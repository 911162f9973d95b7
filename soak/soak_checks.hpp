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

/// Checks the platform's guarantees for single requests, from events at callers
/// and upstreams, and for the exits of instances.
class soak_checks
{
public:
    /// A request as its caller sees it.
    struct caller_view
    {
        std::string id;
        std::size_t instance = 0;
        /// When the last byte of the request was sent.
        core::time_point sent;
        /// Number of starts of the instance's process when the request was
        /// sent.
        std::size_t starts = 0;
    };

    /// The ledger must outlive the checks.
    soak_checks(soak_settings const& settings, request_ledger& ledger);

    /// Sets the platform and instances; both must outlive the checks.
    void watch(soak_platform& platform,
               std::vector<std::unique_ptr<soak_instance>>& instances);

    /// Called when a request has arrived at an upstream.
    void on_arrival(std::string const& id,
                    sent_request const& sent,
                    soak_upstream const& upstream);

    /// Called when an upstream has executed a request.
    void on_completion(std::string const& id,
                       sent_request const& sent,
                       soak_upstream const& upstream);

    /// Called when a caller has received a complete response.
    void on_response(caller_view const& view,
                     recorded_response const& response,
                     bool has_retry_after);

    /// Called when a caller's connection ended without a response.
    void on_disconnect(caller_view const& view);

    /// Called when no response came within the shorter of the route's and the
    /// caller's timeout, plus a tolerance.
    void on_timeout(caller_view const& view);

    /// Checks the exit status of an instance's process, if it has exited.
    void check_exit(soak_instance& instance, std::size_t number);

private:
    bool is_instance_stable(std::size_t instance, core::time_point from) const;
    bool is_link_stable(soak_upstream const& upstream,
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

    /// The parts that the checks read, and the ledger for violations.
    soak_settings settings_;
    request_ledger& ledger_;
    soak_platform* platform_ = nullptr;
    std::vector<std::unique_ptr<soak_instance>>* instances_ = nullptr;
    /// Requests that arrived or were executed after their caller disconnected.
    std::size_t late_arrivals_ = 0;
    std::size_t late_executions_ = 0;
};

} // namespace kumquatloom::soak

#endif
