#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/core/new_incarnation.hpp>
#include <kumquatloom/entry/drain_controller.hpp>
#include <kumquatloom/entry/entry_instance.hpp>
#include <kumquatloom/entry/fleet_link.hpp>
#include <kumquatloom/entry/instance_list_poller.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/operator_server.hpp>
#include <kumquatloom/entry/service_manager.hpp>
#include <kumquatloom/entry/tcp_endpoint.hpp>
#include <kumquatloom/entry/upstream_prober.hpp>
#include <kumquatloom/entry/worker.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <thread>
#include <utility>
#include <vector>

namespace kumquatloom::entry
{

/// The components of an instance. All except the workers run on the control
/// thread.
class entry_instance::impl
{
public:
    impl(settings::instance_settings settings,
         std::chrono::milliseconds grace,
         fleet_mode mode)
        : state(std::move(settings), core::new_incarnation())
        , drain(
              context,
              state,
              grace,
              [this]
              {
                  if (fleet)
                      fleet->plane().begin_leaving();
              },
              [this]
              {
                  finish();
              })
        , operators(context,
                    state,
                    drain,
                    to_tcp_endpoint(state.settings.listen.operators))
        , poller(context,
                 state,
                 [this]
                 {
                     services.refresh(core::clock::now());
                     if (fleet)
                         fleet->apply_instance_list();
                 })
        , services(state)
        , prober(context, state, services)
        , tick_timer(context)
        , signals(context)
    {
        add_workers();
        state.callers_port = workers.front()->address().port();
        state.operators_port = operators.address().port();
        if (mode == fleet_mode::member)
            join_fleet();
        start();
    }

    ~impl()
    {
        // Not joinable after wait(), which joins all threads.
        if (!control_thread.joinable())
            return;
        for (auto const& item : workers)
            item->abort();
        asio::post(context,
                   [this]
                   {
                       close_control();
                       drain.end_wait();
                   });
        join();
    }

    /// Creates the workers. The first one picks the port if none is configured,
    /// and the others share it.
    void add_workers()
    {
        auto const& settings = state.settings;
        auto const limit = settings.upstreams.connections_per_upstream;
        // Each worker needs at least one connection to each upstream.
        auto const count = std::min<std::size_t>(settings.threads, limit);
        auto address = to_tcp_endpoint(settings.listen.callers);
        for (std::size_t index = 0; index < count; ++index)
        {
            auto const share = limit / count + (index < limit % count ? 1 : 0);
            workers.push_back(std::make_unique<worker>(state, address, share));
            address = workers.front()->address();
        }
    }

    /// Joins the fleet. The instance is ready once it has the active document.
    void join_fleet()
    {
        state.ready = false;
        fleet = std::make_unique<fleet_link>(context,
                                             state,
                                             services,
                                             [this](auto const& document)
                                             {
                                                 publish(document);
                                             });
        operators.connect(*fleet);
        fleet->start();
    }

    /// Starts all threads.
    void start()
    {
        asio::co_spawn(context, operators.run(), asio::detached);
        asio::co_spawn(context, poller.run(), asio::detached);
        asio::co_spawn(context, prober.run(), asio::detached);
        asio::co_spawn(context, tick(), asio::detached);
        for (auto const& item : workers)
            item->start();
        control_thread = std::thread(
            [this]
            {
                context.run();
            });
    }

    /// Completes the requests in flight and stops the control thread. The
    /// worker threads exit after their last requests.
    void finish()
    {
        for (auto const& item : workers)
        {
            if (core::is_mutated(core::mutation::exit_while_draining))
                item->abort();
            else
                item->finish();
        }
        close_control();
    }

    /// Activates a document.
    void publish(boost::intrusive_ptr<document::document const> const& next)
    {
        auto const now = core::clock::now();
        state.document.publish(next);
        services.refresh(now);
        state.rates.update_base(*next, now);
        // The gate comes last, because it admits requests to the services
        // published above.
        state.gate.publish(*next);
    }

    /// Periodically evaluates health evidence and rate limits.
    asio::awaitable<void> tick()
    {
        while (!closing)
        {
            auto const now = core::clock::now();
            services.tick(now);
            state.rates.refresh(now);
            if (fleet)
                fleet->tick(now);
            tick_timer.expires_after(health::health_monitor::tick_interval);
            co_await tick_timer.async_wait(as_result);
        }
    }

    /// Stops the components on the control thread, so that it exits.
    void close_control()
    {
        closing = true;
        tick_timer.cancel();
        prober.stop();
        if (fleet)
            fleet->plane().stop();
        operators.close();
        poller.stop();
        signals.cancel();
    }

    /// Joins all threads.
    void join()
    {
        for (auto const& item : workers)
            item->join();
        control_thread.join();
    }

    /// Drains on the first signal; a later one ends the wait for advertised
    /// addresses to expire.
    void wait_for_signal()
    {
        signals.async_wait(
            [this](error_code error, int)
            {
                if (error)
                    return;
                if (state.leaving)
                    drain.end_wait();
                else
                    drain.begin("signal");
                wait_for_signal();
            });
    }

    /// State shared by all threads of the instance.
    instance_state state;
    /// Executes the control thread's work.
    asio::io_context context{1};
    drain_controller drain;
    /// Serves the operators' port.
    operator_server operators;
    /// Reads the platform's instance list.
    instance_list_poller poller;
    /// Updates upstreams and their standings.
    service_manager services;
    /// Probes avoided and ejected upstreams.
    upstream_prober prober;
    /// Connects to the control plane; null for a standalone instance.
    std::unique_ptr<fleet_link> fleet;
    /// Schedules tick().
    asio::steady_timer tick_timer;
    /// Whether the control thread is stopping.
    bool closing = false;
    /// Waits for SIGTERM and SIGINT; empty until leave_on_signals() adds them.
    asio::signal_set signals;
    /// The workers that serve callers.
    std::vector<std::unique_ptr<worker>> workers;
    std::thread control_thread;
};

entry_instance::entry_instance(settings::instance_settings settings,
                               std::chrono::milliseconds grace,
                               fleet_mode mode)
    : impl_(std::make_unique<impl>(std::move(settings), grace, mode))
{
    auto const& state = impl_->state;
    core::log_info("listening",
                   {{"instance", state.settings.instance.id.value()},
                    {"callers", to_string(state.callers_address())},
                    {"operators", to_string(state.operators_address())},
                    {"peers", to_string(state.peers_address())}});
}

entry_instance::~entry_instance() = default;

void entry_instance::publish(
    boost::intrusive_ptr<document::document const> document)
{
    asio::post(impl_->context,
               [this, next = std::move(document)]
               {
                   impl_->publish(next);
               });
}

void entry_instance::leave_on_signals()
{
    asio::post(impl_->context,
               [this]
               {
                   impl_->signals.add(SIGTERM);
                   impl_->signals.add(SIGINT);
                   impl_->wait_for_signal();
               });
}

void entry_instance::drain()
{
    asio::post(impl_->context,
               [this]
               {
                   impl_->drain.begin("program");
               });
}

void entry_instance::wait()
{
    if (impl_->control_thread.joinable())
        impl_->join();
}

std::uint16_t entry_instance::callers_port() const
{
    return impl_->state.callers_port;
}

std::uint16_t entry_instance::operators_port() const
{
    return impl_->state.operators_port;
}

} // namespace kumquatloom::entry
