#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/replica_changes.hpp>
#include <kumquatloom/hosting/replica_paths.hpp>
#include <kumquatloom/hosting/replica_snapshot.hpp>
#include <kumquatloom/hosting/replica_updater.hpp>
#include <kumquatloom/log_service/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace kumquatloom::hosting
{

namespace
{

namespace asio = boost::asio;

/// Timeout for fetching contents. A neighbour serves them from memory.
constexpr std::chrono::milliseconds fetch_timeout{1000};
/// Maximum size of a snapshot with a configuration and a list of upstreams of
/// the largest permitted sizes.
constexpr std::size_t max_snapshot_bytes = 16 * 1024 * 1024;
constexpr unsigned status_ok = 200;

log_service::http_client_settings client_settings()
{
    log_service::http_client_settings result;
    result.timeout = fetch_timeout;
    result.max_body_bytes = max_snapshot_bytes;
    return result;
}

} // namespace

replica_updater::replica_updater(
    asio::io_context& context,
    store_replica& replica,
    any_store const& store,
    membership::neighbour_table const& neighbours,
    update_counters& updates,
    std::uint16_t neighbour_port,
    membership::read_schedule_settings const& schedule,
    hooks callbacks)
    : context_(context)
    , replica_(replica)
    , store_(store)
    , neighbours_(neighbours)
    , updates_(updates)
    , neighbour_port_(neighbour_port)
    , hooks_(std::move(callbacks))
    , schedule_(schedule)
    , start_({}, core::clock::now())
    , max_age_(schedule.max_read_gap())
    , random_(std::random_device{}())
{
}

void replica_updater::record_list(core::duration took, core::time_point now)
{
    start_.record_list(took, now);
}

void replica_updater::tick(core::time_point now)
{
    notify(replica_.expire(now));
    if (!is_read_due(now))
        return;
    read_running_ = true;
    asio::co_spawn(context_, read_store(), asio::detached);
}

bool replica_updater::is_read_due(core::time_point now)
{
    if (read_running_ || !schedule_.is_due(neighbours_.own_rank(now), now))
        return false;
    if (replica_.as_of())
        return true;
    auto const rank = neighbours_.start_rank(start_.counts_silent(now), now);
    if (!start_.is_due(rank, fetch_running_, now))
        return false;
    core::log_info("start_read",
                   {{"rank", rank.rank}, {"instances", rank.size}});
    return true;
}

void replica_updater::apply_message(std::string const& host,
                                    neighbour_message const& message)
{
    auto const now = core::clock::now();
    auto const change = replica_.apply(message, now);
    if (change)
    {
        if (replica_.as_of())
            schedule_.record_read(*replica_.as_of());
        notify(*change);
        return;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    bool const takes_snapshot =
        replica_.as_of() ||
        start_.takes_snapshot(
            host, neighbours_.own_rank(now).size, draw(random_), now);
    if (fetch_running_ || !takes_snapshot)
        return;
    fetch_running_ = true;
    asio::co_spawn(
        context_, fetch_contents({host, neighbour_port_}), asio::detached);
}

bool replica_updater::needs_other_regions(core::time_point now) const
{
    return schedule_.is_failing() ||
           (!replica_.as_of() && start_.may_leave_region(now));
}

bool replica_updater::may_serve(core::time_point now) const
{
    return replica_.as_of() &&
           (read_ended_ || now - *replica_.as_of() <= max_age_);
}

asio::awaitable<void> replica_updater::read_store()
{
    auto const started_at = core::clock::now();
    if (!history_lost_ && replica_.as_of())
    {
        updates_.increment(membership::replica_update::changes_read);
        auto const position = replica_.position();
        auto changes = co_await store_.read_changes(position);
        history_lost_ = !changes && changes.error() ==
                                        log_service::read_error::retention_cut;
        if (!history_lost_)
        {
            read_ended(changes, started_at);
            co_return;
        }
        core::log_warning("store_history_lost",
                          {{"upstreams", position.upstreams},
                           {"documents", position.configuration}});
    }
    updates_.increment(membership::replica_update::whole_read);
    auto const page = co_await store_.read_all();
    read_ended(page, started_at);
}

void replica_updater::read_ended(page_result const& result,
                                 core::time_point started_at)
{
    auto const now = core::clock::now();
    read_running_ = false;
    read_ended_ = true;
    if (!result)
    {
        updates_.increment(membership::replica_update::read_failed);
        schedule_.failed(now);
        start_.failed(now);
        log_reachability(false, result.error());
        return;
    }
    log_reachability(true, {});
    schedule_.succeeded(now);
    history_lost_ = false;
    auto const& contents = result.value();
    core::log_info("store_read",
                   {{"whole", contents.is_complete},
                    {"documents", contents.next.configuration},
                    {"upstreams", contents.next.upstreams},
                    {"changes", contents.upstreams.size()},
                    {"has_document", contents.document.has_value()},
                    {"took_ms",
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - started_at)
                         .count()}});
    auto const change = replica_.apply(contents, started_at, now);
    schedule_.record_read(started_at);
    notify(change);
}

asio::awaitable<void>
replica_updater::fetch_contents(settings::endpoint neighbour)
{
    bool done = false;
    if (replica_.as_of())
        done = co_await fetch_changes(neighbour);
    if (!done)
        co_await fetch_snapshot(neighbour);
    fetch_running_ = false;
}

asio::awaitable<bool>
replica_updater::fetch_changes(settings::endpoint neighbour)
{
    log_service::http_client const client(neighbour, client_settings());
    auto const target = changes_target(replica_.position());
    auto const requested_at = core::clock::now();
    auto const response = co_await client.fetch(target);
    if (!response)
    {
        updates_.increment(membership::replica_update::neighbour_failed);
        // A snapshot from the same neighbour would fail as well.
        core::log_warning("changes_failed",
                          {{"neighbour", neighbour.host},
                           {"error", to_string(response.error())}});
        co_return true;
    }
    if (response.value().status != status_ok)
        co_return false;
    auto const changes = decode<replica_changes>(response.value().body);
    if (!changes)
    {
        core::log_warning("changes_malformed", {{"neighbour", neighbour.host}});
        co_return false;
    }
    updates_.increment(membership::replica_update::neighbour_changes);
    core::log_info("changes_fetched",
                   {{"neighbour", neighbour.host},
                    {"age_ms", changes->age.count()},
                    {"has_document", !changes->document.empty()},
                    {"changes", changes->upstreams.size()}});
    contents_received(
        replica_.apply(*changes, requested_at, core::clock::now()));
    co_return true;
}

asio::awaitable<void>
replica_updater::fetch_snapshot(settings::endpoint neighbour)
{
    log_service::http_client const client(neighbour, client_settings());
    std::string const path(snapshot_path);
    auto const requested_at = core::clock::now();
    auto const response = co_await client.fetch(path);
    if (!response || response.value().status != status_ok)
    {
        updates_.increment(membership::replica_update::neighbour_failed);
        if (!replica_.as_of())
            start_.fetch_failed(neighbour.host, core::clock::now());
        core::log_warning("snapshot_failed", {{"neighbour", neighbour.host}});
        co_return;
    }
    auto const snapshot = decode<replica_snapshot>(response.value().body);
    if (!snapshot)
    {
        updates_.increment(membership::replica_update::neighbour_failed);
        core::log_warning("snapshot_malformed",
                          {{"neighbour", neighbour.host}});
        co_return;
    }
    updates_.increment(membership::replica_update::snapshot);
    core::log_info("snapshot_fetched",
                   {{"neighbour", neighbour.host},
                    {"age_ms", snapshot->age.count()},
                    {"upstreams", snapshot->upstreams.size()}});
    auto const change =
        replica_.apply(*snapshot, requested_at, core::clock::now());
    // The snapshot of a seed lists the instances of its failure domain.
    if (neighbours_.contains(neighbour.host))
        hooks_.addresses_received(snapshot->hosts);
    contents_received(change);
}

void replica_updater::contents_received(store_replica::change const& change)
{
    // A neighbour's contents close a gap in the history like a complete read
    // does.
    if (replica_.as_of())
    {
        schedule_.record_read(*replica_.as_of());
        history_lost_ = false;
    }
    notify(change);
}

void replica_updater::log_reachability(bool reachable,
                                       log_service::read_error error)
{
    if (store_reachable_ == reachable)
        return;
    store_reachable_ = reachable;
    if (reachable)
        core::log_info("store_regained");
    else
        core::log_warning("store_lost", {{"error", to_string(error)}});
}

void replica_updater::notify(store_replica::change const& change)
{
    if (change.document_changed || change.upstreams_changed)
        hooks_.replica_changed(change);
    if (had_contents_ || !replica_.has_contents())
        return;
    had_contents_ = true;
    hooks_.contents_available();
}

} // namespace kumquatloom::hosting
