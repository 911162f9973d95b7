#ifndef KUMQUATLOOM_STAND_INS_INSTANCE_LIST_STAND_IN_HPP
#define KUMQUATLOOM_STAND_INS_INSTANCE_LIST_STAND_IN_HPP

#include <boost/json/object.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <stand_ins/http_service.hpp>
#include <string>

namespace kumquatloom::stand_ins
{

/// The platform's list of live and leaving instances. Readers see it as it
/// was some time ago.
class instance_list_stand_in
{
public:
    /// Listens on the address and shows changes after the lag.
    instance_list_stand_in(boost::asio::io_context& context,
                           settings::endpoint const& listen,
                           std::chrono::milliseconds lag);

    /// The address that was bound.
    settings::endpoint local_endpoint() const
    {
        return service_.local_endpoint();
    }

    /// Adds or replaces an instance, which must have an "id".
    void upsert(boost::json::object instance);

    /// Removes an instance.
    void remove(std::string const& id);

private:
    /// One change that readers see from a time on.
    struct change
    {
        /// When the change becomes visible.
        std::chrono::steady_clock::time_point visible_from;
        /// The changed instance.
        std::string id;
        /// Its new entry; empty if it was removed.
        boost::json::object instance;
    };

    boost::asio::awaitable<http_reply> answer(http_request const& request);
    http_reply answer_change(http_request const& request);
    std::string render();

    /// How long a change stays invisible.
    std::chrono::milliseconds lag_;
    /// Whether every request fails.
    bool outage_ = false;
    /// Changes that are not visible yet, oldest first.
    std::deque<change> pending_;
    /// The visible entries.
    std::map<std::string, boost::json::object> visible_;
    /// Answers requests.
    http_service service_;
};

} // namespace kumquatloom::stand_ins

#endif
