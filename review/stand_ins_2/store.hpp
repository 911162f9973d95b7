#ifndef KUMQUATLOOM_REVIEW_STAND_INS_2_STORE_HPP
#define KUMQUATLOOM_REVIEW_STAND_INS_2_STORE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <review/stand_ins_2/server.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatloom::review
{

/// The platform's store, as far as an instance uses it: appends, reads and the
/// newest records of topics with keys.
class store
{
public:
    store(std::string const& host, std::uint16_t port);

    std::string const& address() const
    {
        return address_;
    }

    /// Appends a record; one without a value drops the key.
    void put(std::string const& topic,
             std::string const& key,
             std::string const& value);

    /// Writes a configuration with the rows of its routes and its services. Its
    /// limits are the ones of the example on the platform's pages.
    void put_configuration(unsigned version,
                           std::string const& rows,
                           std::vector<std::string> const& services = {"shop"});

private:
    struct topic_state
    {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
    };

    void serve(connection& peer);
    std::pair<int, std::string> respond(std::string const& target,
                                        std::string_view body);
    std::string newest(topic_state const& topic) const;

    std::string const address_;
    std::mutex mutex_;
    std::map<std::string, topic_state> topics_;
    server server_;
};

} // namespace kumquatloom::review

#endif
