#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/upstream_pool.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <unit_tests/entry/raw_upstream.hpp>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::entry;
using namespace std::chrono_literals;

/// A pool of one connection to an upstream that serves nothing.
class single_connection
{
public:
    single_connection()
        : upstream_({})
        , state_({}, core::incarnation(1))
        , pool_(new upstream_pool(
              context_,
              state_,
              {asio::ip::address_v4::loopback(), upstream_.port()},
              1))
    {
    }

    /// Starts to acquire the connection; `result` is set once that has ended.
    void acquire(std::optional<exchange_status>& result,
                 std::optional<upstream_pool::lease>& lease,
                 core::duration max_idle = core::duration::max())
    {
        asio::co_spawn(context_, run(result, lease, max_idle), asio::detached);
    }

    /// Runs until the condition holds or nothing is left to do.
    template <typename Condition>
    void run_until(Condition condition)
    {
        while (!condition() && context_.run_one() != 0)
        {
        }
    }

    upstream_pool& pool()
    {
        return *pool_;
    }

private:
    asio::awaitable<void> run(std::optional<exchange_status>& result,
                              std::optional<upstream_pool::lease>& lease,
                              core::duration max_idle)
    {
        cancellation cancel;
        auto acquired = co_await pool_->acquire(
            cancel, core::clock::now() + 500ms, max_idle);
        if (acquired)
            lease.emplace(std::move(acquired.value()));
        result = acquired ? exchange_status::answered : acquired.error();
    }

    asio::io_context context_;
    unit_tests::raw_upstream upstream_;
    instance_state state_;
    boost::intrusive_ptr<upstream_pool> pool_;
};

} // namespace

// Guards against requests that wait for a connection which none of them may
// use or which nobody will return.
TEST_CASE("a request doesn't wait for a connection in vain", "[entry]")
{
    single_connection only;
    std::optional<exchange_status> first;
    std::optional<exchange_status> second;
    std::optional<upstream_pool::lease> first_lease;
    std::optional<upstream_pool::lease> second_lease;
    only.acquire(first, first_lease);
    only.run_until(
        [&]
        {
            return first.has_value();
        });
    REQUIRE(first == exchange_status::answered);
    auto const second_has_ended = [&]
    {
        return second.has_value();
    };

    SECTION("an idle connection that is too old for it makes room")
    {
        first_lease->return_connection();
        first_lease.reset();
        only.acquire(second, second_lease, core::duration::zero());
        only.run_until(second_has_ended);
        CHECK(second == exchange_status::answered);
        CHECK(only.pool().open() == 1);
    }

    SECTION("the wait ends when the upstream has left")
    {
        only.acquire(second, second_lease);
        only.run_until(
            [&]
            {
                return only.pool().waiting() == 1;
            });
        only.pool().withdraw_waiters();
        only.run_until(second_has_ended);
        CHECK(second == exchange_status::withdrawn);
        CHECK(only.pool().open() == 1);
    }
}
