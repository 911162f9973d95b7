#include <iostream>
#include <review/harness/harness.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace kumquatloom::review;
using namespace std::chrono_literals;

namespace
{

/// Bounds of the settings file.
constexpr long drain_ms = 2000;
constexpr unsigned deadline_ms = 8000;
/// Slots of each backend, as on the site; that many orders are at work.
constexpr unsigned slots = 6;
constexpr unsigned later_orders = 3;
/// How slow the backend turns.
constexpr double slowness = 12;

/// The configuration in which `service` serves the orders and is the only one.
std::string configuration_with(unsigned version, std::string const& service)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":{"columns":["name","host","pathPrefix","kind",)"
           R"("timeoutS","targetLatencyS","priority","split","maxAttempts",)"
           R"("service"],"rows":[["r-order","shop.example","/order/",)"
           R"("unsafe",4,1.2,1,null,2,")" +
           service +
           R"("]]},"services":{"columns":["name","healthPath","maxConns",)"
           R"("protocol","tls"],"rows":[[")" +
           service +
           R"(","/health",390,"h1",false]]},"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}})";
}

int run(std::string const& folder)
{
    recorder log(folder + "/record.txt");
    temporary_folder const files;
    auto const store_host = loopback_host(1);
    address const store_at{store_host, free_port(store_host)};
    store platform(store_at);
    platform.put("keyed.op", "config", configuration_with(7, "storefront"));
    auto const host = loopback_host(10);
    backend old({"i-1", "storefront", "z1", {host, free_port(host)}, slots},
                platform,
                log);
    backend added({"i-2", "newfront", "z1", {host, free_port(host)}, slots},
                  platform,
                  log);
    auto const front_host = loopback_host(20);
    machine::ports const ports{free_port(front_host),
                               free_port(front_host),
                               free_port(front_host),
                               free_port(front_host),
                               free_port(front_host)};
    machine front({"front-1", front_host, "z1", "r1", ""},
                  ports,
                  store_at,
                  files.path(),
                  log);
    front.start();
    if (!front.wait_until_ready(15s))
        throw std::runtime_error("the machine doesn't get ready");
    // From here on, the machine and the store are left alone.
    pause(4s);

    std::vector<std::thread> clients;
    auto const order = [&](std::string const& id)
    {
        clients.emplace_back(
            [&, id]
            {
                auto const peer = connection::open(front.front());
                if (!peer || !peer->send(request_head(
                                 "POST", "/order/w420", id, deadline_ms, 0)))
                    return;
                log.line("client has sent request " + id);
                auto const answer = peer->receive(10s);
                log.line("client gets " +
                         (answer ? std::to_string(answer->status())
                                 : std::string("no answer")) +
                         " for request " + id);
            });
    };
    if (has_trouble())
        old.slow_down(slowness);
    for (unsigned i = 0; i < slots; ++i)
        order("first-" + std::to_string(i));
    // Later orders wait for a free slot.
    pause(1650ms);
    for (unsigned i = 0; i < later_orders; ++i)
        order("later-" + std::to_string(i));
    pause(20ms);
    // The service is retired: its route moves to another one, and its backend
    // drains.
    platform.put("keyed.op", "config", configuration_with(9, "newfront"));
    old.report("draining");
    auto const left_at = log.elapsed_ms();
    log.line("version 9 and the draining of backend i-1 are acknowledged");
    for (auto& client : clients)
        client.join();

    bool broken = false;
    for (auto const& [id, at] : old.arrivals())
        if (at > left_at + drain_ms)
        {
            log.line("request " + id + " reached backend i-1 " +
                     std::to_string(at - left_at) +
                     " ms after the ack of its draining");
            broken = true;
        }
    log.line(broken ? "DRAIN is broken" : "DRAIN holds");
    return broken ? 1 : 0;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        return run(count > 1 ? arguments[1] : ".");
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
