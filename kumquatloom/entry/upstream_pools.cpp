#include <kumquatloom/entry/upstream_pools.hpp>

#include <boost/asio/ip/address.hpp>

namespace kumquatloom::entry
{

upstream_pools::upstream_pools(asio::io_context& context,
                               instance_state& state,
                               std::size_t connection_limit)
    : context_(context)
    , state_(state)
    , connection_limit_(connection_limit)
{
}

boost::intrusive_ptr<upstream_pool>
upstream_pools::pool_for(boost::intrusive_ptr<routing::upstream> const& target)
{
    auto const found = pools_.find(target.get());
    if (found != pools_.end())
        return found->second.pool;
    error_code error;
    auto const address = asio::ip::make_address(target->endpoint().host, error);
    if (error)
        return nullptr;
    boost::intrusive_ptr<upstream_pool> pool(
        new upstream_pool(context_,
                          state_,
                          {address, target->endpoint().port},
                          connection_limit_));
    pools_.emplace(target.get(), entry{target, pool});
    return pool;
}

void upstream_pools::withdraw_leaving()
{
    for (auto const& [key, item] : pools_)
    {
        if (!item.target->is_leaving())
            continue;
        item.pool->withdraw_waiters();
        item.pool->close_idle(core::time_point::max());
    }
}

void upstream_pools::sweep(core::time_point unused_since)
{
    withdraw_leaving();
    for (auto const& [key, item] : pools_)
        item.pool->close_idle(unused_since);
    std::erase_if(pools_,
                  [](auto const& item)
                  {
                      return item.second.pool->open() == 0 &&
                             item.second.pool->use_count() == 1;
                  });
}

} // namespace kumquatloom::entry
