#ifndef KUMQUATLOOM_STAND_INS_INSTANCE_LIST_STAND_IN_HPP
#define KUMQUATLOOM_STAND_INS_INSTANCE_LIST_STAND_IN_HPP

#include <boost/json/object.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <stand_ins/http_server.hpp>
#include <string>

namespace kumquatloom::stand_ins
{

/// Stand-in for the platform's list of live and leaving instances. Readers see
/// each change after a delay.
class instance_list_stand_in
{
public:
    /// Listens on the address; changes become visible after `lag`.
    instance_list_stand_in(boost::asio::io_context& context,
                           settings::endpoint const& listen,
                           std::chrono::milliseconds lag);

    /// The bound address.
    settings::endpoint local_endpoint() const
    {
        return server_.local_endpoint();
    }

    /// Adds or replaces an instance; the object must have an "id".
    void upsert(boost::json::object instance);

    /// Removes an instance.
    void remove(std::string const& id);

private:
    /// A change of the list.
    struct change
    {
        /// When the change becomes visible.
        std::chrono::steady_clock::time_point visible_from;
        /// Id of the changed instance.
        std::string id;
        /// The new entry; empty for a removal.
        boost::json::object instance;
    };

    boost::asio::awaitable<http_reply>
    handle_request(http_request const& request);
    http_reply handle_change(http_request const& request);
    std::string render();

    /// Delay until a change becomes visible.
    std::chrono::milliseconds lag_;
    /// Whether reads of the list fail.
    bool outage_ = false;
    /// Changes that are not visible yet, oldest first.
    std::deque<change> pending_;
    /// The visible entries by id.
    std::map<std::string, boost::json::object> visible_;
    /// The HTTP server.
    http_server server_;
};

} // namespace kumquatloom::stand_ins

#endif
