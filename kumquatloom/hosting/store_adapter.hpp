#ifndef KUMQUATLOOM_HOSTING_STORE_ADAPTER_HPP
#define KUMQUATLOOM_HOSTING_STORE_ADAPTER_HPP

#include <kumquatloom/core/fault.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/hosting/announced_instance.hpp>
#include <kumquatloom/hosting/store_page.hpp>
#include <kumquatloom/hosting/store_position.hpp>
#include <kumquatloom/log_service/error.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::hosting
{

/// Result of a read of the store.
using page_result = core::result<store_page, log_service::read_error>;
/// The instances that have announced themselves.
using instances_result =
    core::result<std::vector<announced_instance>, log_service::read_error>;
/// Result of an announcement.
using announce_result =
    core::result<core::log_offset, log_service::append_error>;

/// The store of an environment that runs instances for its users: it holds the
/// configuration, the list of upstreams and what instances announce. An
/// adapter translates names and formats, and decides nothing.
template <typename Store>
concept store_adapter = requires(Store const& store,
                                 store_position const& position,
                                 announced_instance const& instance,
                                 std::string_view text,
                                 core::fault_list& faults)
{
    // What has changed since a position. Fails with retention_cut if the
    // records between are gone; then only read_all() helps.
    {
        store.read_changes(position)
        } -> std::same_as<boost::asio::awaitable<page_result>>;
    // Everything that holds now.
    {
        store.read_all()
        } -> std::same_as<boost::asio::awaitable<page_result>>;
    // Makes the address of an instance known to the others of its domain.
    {
        store.announce(instance)
        } -> std::same_as<boost::asio::awaitable<announce_result>>;
    // The instances that have ever announced themselves.
    {
        store.announced_instances()
        } -> std::same_as<boost::asio::awaitable<instances_result>>;
    // Translates a configuration; null after a fault.
    {
        Store::parse(text, faults)
        } -> std::same_as<boost::intrusive_ptr<document::document>>;
};

} // namespace kumquatloom::hosting

#endif
