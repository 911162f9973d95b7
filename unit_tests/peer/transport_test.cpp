#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/tcp_transport.hpp>
#include <kumquatloom/peer/udp_transport.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace kumquatloom;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

settings::endpoint const any_port{"127.0.0.1", 0};

peer::frame_codec_settings codec_settings(std::string const& self,
                                          peer::channel channel)
{
    peer::frame_codec_settings settings;
    settings.channel = channel;
    settings.fleet = "mbao";
    settings.keys = {{1, "secret"}};
    settings.self = core::instance_id(self);
    settings.incarnation = 7;
    return settings;
}

peer::peer_scope same_region(core::instance_id const&)
{
    return peer::peer_scope::same_region;
}

/// Runs the context until the condition holds, or gives up after a time limit
/// so that a failing test does not hang.
template <typename Condition>
bool run_until(asio::io_context& context, Condition condition)
{
    auto const give_up = core::clock::now() + 20s;
    while (!condition() && core::clock::now() < give_up)
    {
        context.restart();
        context.run_one_for(100ms);
    }
    return condition();
}

asio::ip::tcp::socket connect_to(asio::io_context& context,
                                 settings::endpoint const& target)
{
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(target.host), target.port});
    return socket;
}

} // namespace

TEST_CASE("datagrams are delivered to another instance", "[peer]")
{
    // Guards against lost datagrams, wrong source addresses and wrong counters.
    asio::io_context context;
    peer::traffic_counters traffic;
    auto const kind = peer::message_kind::leaving;
    auto const scope = peer::peer_scope::same_region;
    std::vector<peer::frame> received;
    std::vector<settings::endpoint> sources;
    peer::udp_transport a(context,
                          any_port,
                          codec_settings("a", peer::channel::datagram),
                          traffic);
    peer::udp_transport b(context,
                          any_port,
                          codec_settings("b", peer::channel::datagram),
                          traffic);
    b.start(
        [&](peer::frame const& frame, settings::endpoint const& source)
        {
            received.push_back(frame);
            sources.push_back(source);
        },
        same_region);

    SECTION("a message arrives with the address of its sender")
    {
        a.send({{b.local_endpoint(), scope}}, peer::leaving{3});
        REQUIRE(run_until(context,
                          [&]
                          {
                              return !received.empty();
                          }));
        REQUIRE(received[0].sender == core::instance_id("a"));
        REQUIRE(received[0].body == peer::message(peer::leaving{3}));
        REQUIRE(sources[0] == a.local_endpoint());
        using peer::direction;
        REQUIRE(traffic.messages(kind, direction::sent, scope) == 1);
        REQUIRE(traffic.messages(kind, direction::received, scope) == 1);
        REQUIRE(traffic.bytes(kind, direction::sent, scope) ==
                received[0].size_bytes);
    }
    SECTION("malformed datagrams are dropped and receiving continues")
    {
        asio::ip::udp::socket other(context, asio::ip::udp::v4());
        asio::ip::udp::endpoint const target(
            asio::ip::make_address("127.0.0.1"), b.local_endpoint().port);
        other.send_to(asio::buffer(std::string("noise")), target);
        other.send_to(asio::buffer(std::string(3000, 'x')), target);
        REQUIRE(run_until(
            context,
            [&]
            {
                return b.drops().value(peer::drop_reason::malformed) == 1 &&
                       b.drops().value(peer::drop_reason::oversized) == 1;
            }));
        a.send({{b.local_endpoint(), scope}}, peer::leaving{3});
        REQUIRE(run_until(context,
                          [&]
                          {
                              return received.size() == 1;
                          }));
    }
    SECTION("a malformed address counts as a send failure")
    {
        a.send({{{"not an address", 1}, scope}}, peer::leaving{});
        REQUIRE(run_until(context,
                          [&]
                          {
                              return a.send_failures() == 1;
                          }));
    }
}

TEST_CASE("requests on streams receive responses", "[peer]")
{
    // Guards against responses that are matched to the wrong request and
    // against peers that exhaust connections.
    asio::io_context context;
    peer::traffic_counters traffic;
    auto const scope = peer::peer_scope::same_region;
    peer::tcp_transport_settings limits;
    limits.incoming_connections = 2;
    peer::tcp_transport client(context,
                               any_port,
                               limits,
                               codec_settings("a", peer::channel::stream),
                               traffic);
    std::optional<core::result<peer::frame, peer::peer_error>> response;
    auto const store_response =
        [&response](core::result<peer::frame, peer::peer_error> r)
    {
        response = std::move(r);
    };
    auto const has_response = [&response]
    {
        return response.has_value();
    };
    limits.incoming_deadline = 300ms;
    peer::tcp_transport server(context,
                               any_port,
                               limits,
                               codec_settings("b", peer::channel::stream),
                               traffic);
    peer::destination const target{server.local_endpoint(), scope};
    std::vector<peer::frame> requests;
    // Keeps responders alive to simulate a handler that never responds.
    std::vector<peer::tcp_transport::responder> pending_responders;
    peer::sync_response reply;
    bool respond_at_once = true;
    server.start(
        [&](peer::frame const& request, peer::tcp_transport::responder respond)
        {
            requests.push_back(request);
            if (respond_at_once)
                respond(reply);
            else
                pending_responders.push_back(std::move(respond));
        },
        same_region);

    SECTION("a response with a record of maximum size arrives complete")
    {
        reply.nonce = 5;
        reply.records = {{8, std::string(peer::max_record_bytes, 'r')}};
        client.request(
            target, peer::sync_request{5, 8, 0, 0}, 5000ms, store_response);
        REQUIRE(run_until(context, has_response));
        REQUIRE(response->has_value());
        REQUIRE(response->value().body == peer::message(reply));
        REQUIRE(traffic.messages(peer::message_kind::sync_response,
                                 peer::direction::sent,
                                 scope) == 1);
    }
    SECTION("a response to another request is rejected")
    {
        reply.nonce = 6;
        client.request(
            target, peer::sync_request{5, 8, 0, 0}, 5000ms, store_response);
        REQUIRE(run_until(context, has_response));
        REQUIRE(response->error() == peer::peer_error::bad_response);
    }
    SECTION("a request without a response times out")
    {
        respond_at_once = false;
        client.request(
            target, peer::sync_request{5, 8, 0, 0}, 50ms, store_response);
        REQUIRE(run_until(context, has_response));
        REQUIRE(response->error() == peer::peer_error::timeout);
    }
    SECTION("a refused connection is an error")
    {
        // Nothing listens on port 1.
        client.request({{"127.0.0.1", 1}, scope},
                       peer::sync_request{5, 8, 0, 0},
                       5000ms,
                       store_response);
        REQUIRE(run_until(context, has_response));
        REQUIRE(response->error() == peer::peer_error::connection_failed);
    }
    SECTION("a push is delivered without a response")
    {
        reply.nonce = 0;
        client.push(target, reply, 5000ms);
        REQUIRE(run_until(context,
                          [&]
                          {
                              return requests.size() == 1;
                          }));
        REQUIRE(requests[0].body == peer::message(reply));
    }
    SECTION("idle peers are disconnected and excess connections are rejected")
    {
        auto first = connect_to(context, server.local_endpoint());
        auto second = connect_to(context, server.local_endpoint());
        auto third = connect_to(context, server.local_endpoint());
        // The first one announces a frame and never sends it.
        asio::write(first, asio::buffer(std::string("\x00\x01\x00\x00", 4)));
        auto const& errors = server.errors();
        REQUIRE(run_until(
            context,
            [&]
            {
                return errors.value(peer::peer_error::timeout) == 2 &&
                       errors.value(peer::peer_error::too_many_connections) ==
                           1;
            }));
        // The connections are released, so that new ones are accepted.
        reply.nonce = 5;
        client.request(
            target, peer::sync_request{5, 8, 0, 0}, 5000ms, store_response);
        REQUIRE(run_until(context, has_response));
        REQUIRE(response->has_value());
    }
    SECTION("an announced size above the bound is rejected at once")
    {
        auto socket = connect_to(context, server.local_endpoint());
        asio::write(socket, asio::buffer(std::string("\x7f\xff\xff\xff", 4)));
        REQUIRE(run_until(context,
                          [&]
                          {
                              return server.errors().value(
                                         peer::peer_error::oversized) == 1;
                          }));
    }
    SECTION("stopping the transport ends its pending requests")
    {
        respond_at_once = false;
        client.request(
            target, peer::sync_request{5, 8, 0, 0}, 20000ms, store_response);
        REQUIRE(run_until(context,
                          [&]
                          {
                              return requests.size() == 1;
                          }));
        client.stop();
        REQUIRE(run_until(context, has_response));
        REQUIRE(response->error() == peer::peer_error::connection_failed);
    }
}
