#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/replica_snapshot.hpp>
#include <kumquatloom/hosting/replica_updater.hpp>
#include <kumquatloom/hosting/snapshot_path.hpp>
#include <kumquatloom/log_service/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace kumquatloom::hosting
{

namespace
{

namespace asio = boost::asio;

/// Time for a snapshot, which a neighbour makes at once.
constexpr std::chrono::milliseconds snapshot_timeout{1000};
/// Largest snapshot: a configuration and a list of the bounded sizes.
constexpr std::size_t max_snapshot_bytes = 16 * 1024 * 1024;
constexpr unsigned status_ok = 200;

} // namespace

replica_updater::replica_updater(
    asio::io_context& context,
    store_replica& view,
    any_store const& store,
    std::uint16_t neighbour_port,
    membership::read_schedule_settings const& schedule,
    change_handler changed,
    hosts_handler hosts_known)
    : context_(context)
    , view_(view)
    , store_(store)
    , neighbour_port_(neighbour_port)
    , changed_(std::move(changed))
    , hosts_known_(std::move(hosts_known))
    , schedule_(schedule)
{
}

void replica_updater::tick(membership::domain_rank const& place,
                           core::time_point now)
{
    update(view_.expire(now));
    if (reading_ || !schedule_.due(place, now))
        return;
    reading_ = true;
    asio::co_spawn(context_, read(), asio::detached);
}

void replica_updater::learned(std::string const& host,
                              neighbour_message const& message)
{
    auto const now = core::clock::now();
    auto const change = view_.apply(message, now);
    if (change)
    {
        if (view_.as_of())
            schedule_.know(*view_.as_of());
        update(*change);
    }
    else if (!fetching_)
    {
        fetching_ = true;
        asio::co_spawn(
            context_, fetch({host, neighbour_port_}), asio::detached);
    }
}

asio::awaitable<void> replica_updater::read()
{
    auto const began = core::clock::now();
    ++reads_;
    if (!history_lost_ && view_.as_of())
    {
        auto const position = view_.position();
        auto changes = co_await store_.read_changes(position);
        history_lost_ = !changes && changes.error() ==
                                        log_service::read_error::retention_cut;
        if (!history_lost_)
        {
            ended(changes, began);
            co_return;
        }
        core::log_warning("store_history_lost",
                          {{"upstreams", position.upstreams},
                           {"documents", position.documents}});
    }
    auto const everything = co_await store_.read_all();
    ended(everything, began);
}

void replica_updater::ended(page_result const& result, core::time_point began)
{
    auto const now = core::clock::now();
    reading_ = false;
    if (!result)
    {
        ++failed_reads_;
        schedule_.failed(now);
        report(false, result.error());
        return;
    }
    report(true, {});
    schedule_.succeeded(now);
    history_lost_ = false;
    auto const& page = result.value();
    core::log_info(
        "store_read",
        {{"whole", page.is_complete},
         {"documents", page.next.documents},
         {"upstreams", page.next.upstreams},
         {"changes", page.upstreams.size()},
         {"has_document", page.document.has_value()},
         {"took_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(now - began)
              .count()}});
    auto const change = view_.apply(page, began, now);
    schedule_.know(began);
    update(change);
}

asio::awaitable<void> replica_updater::fetch(settings::endpoint neighbour)
{
    log_service::http_client_settings bounds;
    bounds.timeout = snapshot_timeout;
    bounds.max_body_bytes = max_snapshot_bytes;
    log_service::http_client const client(neighbour, bounds);
    std::string const path(snapshot_path);
    auto const asked = core::clock::now();
    auto const response = co_await client.fetch(path);
    fetching_ = false;
    if (!response || response.value().status != status_ok)
    {
        core::log_warning("snapshot_failed", {{"neighbour", neighbour.host}});
        co_return;
    }
    auto const snapshot = decode<replica_snapshot>(response.value().body);
    if (!snapshot)
    {
        core::log_warning("snapshot_malformed",
                          {{"neighbour", neighbour.host}});
        co_return;
    }
    auto const change = view_.apply(*snapshot, asked, core::clock::now());
    // A snapshot follows the store's history as well as a whole read.
    if (view_.as_of())
    {
        schedule_.know(*view_.as_of());
        history_lost_ = false;
    }
    core::log_info("snapshot_fetched",
                   {{"neighbour", neighbour.host},
                    {"age_ms", snapshot->age.count()},
                    {"upstreams", snapshot->upstreams.size()}});
    hosts_known_(snapshot->hosts);
    update(change);
}

void replica_updater::report(bool reachable, log_service::read_error error)
{
    if (reachable_ == reachable)
        return;
    reachable_ = reachable;
    if (reachable)
        core::log_info("store_regained");
    else
        core::log_warning("store_lost", {{"error", to_string(error)}});
}

void replica_updater::update(store_replica::change const& change)
{
    if (change.document || change.listing)
        changed_(change);
}

} // namespace kumquatloom::hosting
