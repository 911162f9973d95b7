#ifndef KUMQUATLOOM_HOSTING_STORE_CALLS_HPP
#define KUMQUATLOOM_HOSTING_STORE_CALLS_HPP

#include <kumquatloom/hosting/environment.hpp>
#include <kumquatloom/hosting/environment_store.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace kumquatloom::hosting
{

/// The calls of a store, without its type.
struct any_store
{
    /// See store_adapter.
    std::function<boost::asio::awaitable<page_result>(store_position)>
        read_changes;
    std::function<boost::asio::awaitable<page_result>()> read_all;
    std::function<boost::asio::awaitable<announce_result>(announced_instance)>
        announce;
    std::function<boost::asio::awaitable<instances_result>()> announced;
    environment::parser parse = nullptr;
};

/// The calls of one store, which they share.
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
                return store->announced();
            },
            &Store::parse};
}

} // namespace kumquatloom::hosting

#endif
