#ifndef KUMQUATLOOM_STAND_INS_PLATFORM_STORE_STAND_IN_HPP
#define KUMQUATLOOM_STAND_INS_PLATFORM_STORE_STAND_IN_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <stand_ins/http_service.hpp>
#include <string>

namespace kumquatloom::stand_ins
{

/// How the store behaves.
enum class store_behaviour
{
    normal,
    /// Every call is answered 503.
    down,
    /// Every call is answered 429.
    refusing,
    /// Every connection is closed without an answer.
    silent,
    /// Every answer takes long.
    slow,
    /// Every call is carried out, but its answer is lost.
    losing
};

/// The shared platform's store, in memory: topics with keyed records in one
/// partition each. Runs on one thread.
class platform_store_stand_in
{
public:
    /// Listens on the address.
    platform_store_stand_in(boost::asio::io_context& context,
                            settings::endpoint const& listen);

    /// The address that was bound.
    settings::endpoint local_endpoint() const
    {
        return service_.local_endpoint();
    }

    /// Appends a record; an empty value drops the key.
    void put(std::string const& topic,
             std::string const& key,
             std::string const& value);

    /// Drops the records of all topics, but not what is newest of each key.
    void clear_history();

    /// Changes the behaviour.
    void change_behaviour(store_behaviour next)
    {
        behaviour_ = next;
    }

    /// Calls so far.
    std::uint64_t calls() const
    {
        return calls_;
    }

private:
    /// A record with its offset.
    struct stored
    {
        std::uint64_t offset = 0;
        std::string key;
        std::string value;
    };

    /// A topic.
    struct topic_state
    {
        /// Records that are kept.
        std::deque<stored> records;
        /// The newest record of each key that was not dropped.
        std::map<std::string, stored> newest;
        /// Offset behind the last record.
        std::uint64_t end = 0;
    };

    boost::asio::awaitable<http_reply> answer(http_request const& request);
    http_reply carry_out(http_request const& request, std::string_view target);
    http_reply answer_append(http_request const& request);
    http_reply answer_read(std::string_view target);
    http_reply answer_newest(std::string_view target);

    /// Topics by name.
    std::map<std::string, topic_state, std::less<>> topics_;
    /// How calls are answered.
    store_behaviour behaviour_ = store_behaviour::normal;
    /// Calls so far.
    std::uint64_t calls_ = 0;
    /// Answers requests.
    http_service service_;
};

} // namespace kumquatloom::stand_ins

#endif
