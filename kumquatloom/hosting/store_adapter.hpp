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
/// Result of reading the list of instances.
using instances_result =
    core::result<std::vector<announced_instance>, log_service::read_error>;
/// Result of adding an instance to the list.
using announce_result =
    core::result<core::log_offset, log_service::append_error>;

/// Requirements on the adapter for a hosting platform's store, which holds the
/// configuration, the list of upstreams and the list of instances. The adapter
/// converts names and formats between the platform and kumquatloom, and makes
/// no decisions.
template <typename Store>
concept store_adapter = requires(Store const& store,
                                 store_position const& position,
                                 announced_instance const& instance,
                                 std::string_view text,
                                 core::fault_list& faults)
{
    // Returns the changes since a position. Fails with retention_cut if the
    // store no longer has all of them; read_all() is required then.
    {
        store.read_changes(position)
        } -> std::same_as<boost::asio::awaitable<page_result>>;
    // Returns the complete current contents.
    {
        store.read_all()
        } -> std::same_as<boost::asio::awaitable<page_result>>;
    // Adds an instance to the list of instances.
    {
        store.announce(instance)
        } -> std::same_as<boost::asio::awaitable<announce_result>>;
    // Returns the list of instances, including those that have stopped.
    {
        store.announced_instances()
        } -> std::same_as<boost::asio::awaitable<instances_result>>;
    // Parses a configuration; returns null after a fault.
    {
        Store::parse(text, faults)
        } -> std::same_as<boost::intrusive_ptr<document::document>>;
    // Returns a configuration without its secrets, in a form that parse()
    // accepts with the same result. Instances send it to each other.
    {
        Store::redact(text)
        } -> std::same_as<std::string>;
};

} // namespace kumquatloom::hosting

#endif
