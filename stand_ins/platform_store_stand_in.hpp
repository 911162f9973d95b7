#ifndef KUMQUATLOOM_STAND_INS_PLATFORM_STORE_STAND_IN_HPP
#define KUMQUATLOOM_STAND_INS_PLATFORM_STORE_STAND_IN_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <stand_ins/http_server.hpp>
#include <string>

namespace kumquatloom::stand_ins
{

/// Behaviour of the store.
enum class store_behaviour
{
    normal,
    /// Every request gets status 503.
    down,
    /// Every request gets status 429.
    refusing,
    /// Every connection is closed without a response.
    silent,
    /// Every response is delayed.
    slow,
    /// Every request is executed, but its response is lost.
    losing
};

/// Stand-in for the shared platform's store: topics with keyed records, one
/// partition each, in memory. Runs on one thread.
class platform_store_stand_in
{
public:
    /// Listens on the address.
    platform_store_stand_in(boost::asio::io_context& context,
                            settings::endpoint const& listen);

    /// The bound address.
    settings::endpoint local_endpoint() const
    {
        return server_.local_endpoint();
    }

    /// Appends a record; an empty value deletes the key.
    void put(std::string const& topic,
             std::string const& key,
             std::string const& value);

    /// Drops the records of all topics, but keeps the newest value of each key.
    void clear_history();

    /// Changes the behaviour.
    void change_behaviour(store_behaviour next)
    {
        behaviour_ = next;
    }

    /// Number of requests so far.
    std::uint64_t calls() const
    {
        return calls_;
    }

    /// Number of requests so far for the newest records of a topic.
    std::uint64_t listings(std::string const& topic) const
    {
        auto const known = listings_.find(topic);
        return known == listings_.end() ? 0 : known->second;
    }

private:
    /// A record with its offset.
    struct stored_record
    {
        std::uint64_t offset = 0;
        std::string key;
        std::string value;
    };

    /// A topic.
    struct topic_state
    {
        /// Retained records.
        std::deque<stored_record> records;
        /// The newest record of each key that was not deleted.
        std::map<std::string, stored_record> newest;
        /// Offset of the next record.
        std::uint64_t end = 0;
    };

    boost::asio::awaitable<http_reply>
    handle_request(http_request const& request);
    http_reply dispatch(http_request const& request, std::string_view target);
    http_reply handle_append(http_request const& request);
    http_reply handle_read(std::string_view target);
    http_reply handle_newest(std::string_view target);

    /// Topics by name.
    std::map<std::string, topic_state, std::less<>> topics_;
    /// Current behaviour.
    store_behaviour behaviour_ = store_behaviour::normal;
    /// See calls().
    std::uint64_t calls_ = 0;
    /// See listings(), by topic.
    std::map<std::string, std::uint64_t, std::less<>> listings_;
    /// The HTTP server.
    http_server server_;
};

} // namespace kumquatloom::stand_ins

#endif
