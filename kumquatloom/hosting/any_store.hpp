#ifndef KUMQUATLOOM_HOSTING_ANY_STORE_HPP
#define KUMQUATLOOM_HOSTING_ANY_STORE_HPP

#include <kumquatloom/hosting/store_adapter.hpp>
#include <kumquatloom/hosting/store_replica.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace kumquatloom::hosting
{

/// Type-erased store_adapter.
struct any_store
{
    std::function<boost::asio::awaitable<page_result>(store_position)>
        read_changes;
    std::function<boost::asio::awaitable<page_result>()> read_all;
    std::function<boost::asio::awaitable<announce_result>(announced_instance)>
        announce;
    std::function<boost::asio::awaitable<instances_result>()>
        announced_instances;
    store_replica::parser parse = nullptr;
    store_replica::redactor redact = nullptr;
};

/// Wraps a store adapter; the callbacks share its ownership.
template <store_adapter Store>
any_store make_any_store(std::shared_ptr<Store const> store)
{
    return {[store](store_position position)
            {
                return store->read_changes(position);
            },
            [store]
            {
                return store->read_all();
            },
            [store](announced_instance instance)
            {
                return store->announce(std::move(instance));
            },
            [store]
            {
                return store->announced_instances();
            },
            &Store::parse,
            &Store::redact};
}

} // namespace kumquatloom::hosting

#endif
