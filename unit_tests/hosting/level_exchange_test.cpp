#include <kumquatloom/hosting/neighbour_messenger.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <cstdint>
#include <string>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::hosting;
namespace asio = boost::asio;

constexpr std::uint32_t service = 7;

/// An instance without a request path.
struct instance
{
    instance(asio::io_context& context,
             std::string const& host,
             std::uint16_t port,
             bool has_level,
             char const* domain = "west")
        : quotas({}, {1, 2, 3}, core::clock::now())
        , levels(max_level_services)
        , messenger(context,
                    {{host, port}, core::failure_domain(domain), {}, 3},
                    tracker,
                    quotas,
                    has_level ? &levels : nullptr,
                    {[](neighbour_message&) {},
                     [](std::string const&, neighbour_message const&) {}})
    {
        messenger.start();
    }

    /// Observes three urgent and seven other requests for five slots.
    void run(bool is_short)
    {
        auto const now = core::clock::now();
        levels.observe(service, {{3, 0, 7}, 3, 5}, is_short, now);
        messenger.tick(now);
    }

    bool has_level() const
    {
        return levels.value(service, core::clock::now()) > 0;
    }

    upstream_tracker tracker{0.7};
    limits::quota_table quotas;
    limits::admission_levels levels;
    neighbour_messenger messenger;
};

std::uint16_t free_port()
{
    asio::io_context context;
    return asio::ip::udp::socket(
               context, {asio::ip::make_address("127.0.0.1"), std::uint16_t{0}})
        .local_endpoint()
        .port();
}

} // namespace

// Guards against reports that don't arrive or are taken from another domain,
// and against an instance without the setting that is disturbed by them.
TEST_CASE("neighbours agree on an admission level", "[admission-level]")
{
    asio::io_context context;
    auto const port = free_port();
    instance first(context, "127.0.0.1", port, true);
    instance second(context, "127.0.0.2", port, true);
    instance stranger(context, "127.0.0.3", port, true, "east");
    instance disabled(context, "127.0.0.4", port, false);
    first.messenger.add_instance("127.0.0.2");
    first.messenger.add_instance("127.0.0.4");
    second.messenger.add_instance("127.0.0.1");
    stranger.messenger.add_instance("127.0.0.1");
    disabled.messenger.add_instance("127.0.0.1");
    while (!first.has_level() || !second.has_level())
    {
        first.run(true);
        second.run(false);
        stranger.run(true);
        disabled.run(true);
        context.poll();
    }
    CHECK_FALSE(stranger.has_level());
    CHECK_FALSE(disabled.has_level());
}
