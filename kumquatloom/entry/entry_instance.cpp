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

/// Everything that an instance owns.
class entry_instance::parts
{
public:
    parts(settings::instance_settings settings,
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
                     control.refresh(core::clock::now());
                     if (fleet)
                         fleet->list_read();
                 })
        , control(state)
        , prober(context, state, control)
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

    ~parts()
    {
        if (!thread.joinable())
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

    /// Creates one listener per worker; the first one picks the port.
    void add_workers()
    {
        auto const& settings = state.settings;
        auto const limit = settings.upstreams.connections_per_upstream;
        // Each worker needs a connection of its own to each upstream.
        auto const count = std::min<std::size_t>(settings.threads, limit);
        auto address = to_tcp_endpoint(settings.listen.callers);
        for (std::size_t index = 0; index < count; ++index)
        {
            auto const share = limit / count + (index < limit % count ? 1 : 0);
            workers.push_back(std::make_unique<worker>(state, address, share));
            address = workers.front()->address();
        }
    }

    /// Connects the instance with its fleet. It serves once it knows the
    /// document that is in force.
    void join_fleet()
    {
        state.ready = false;
        fleet = std::make_unique<fleet_link>(context,
                                             state,
                                             control,
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
        thread = std::thread(
            [this]
            {
                context.run();
            });
    }

    /// Lets running requests end, and with them the workers' threads.
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

    /// Puts a document in force.
    void publish(boost::intrusive_ptr<document::document const> const& next)
    {
        auto const now = core::clock::now();
        state.document.publish(next);
        control.refresh(now);
        state.rates.update_base(*next, now);
        // The gate comes last: it admits requests to the services above.
        state.gate.publish(*next);
    }

    /// Evaluates evidence and limits again and again.
    asio::awaitable<void> tick()
    {
        while (!closing)
        {
            auto const now = core::clock::now();
            control.tick(now);
            state.rates.refresh(now);
            if (fleet)
                fleet->tick(now);
            tick_timer.expires_after(health::health_monitor::tick_interval);
            co_await tick_timer.async_wait(as_result);
        }
    }

    /// Ends the control thread's own work.
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

    /// Waits for all threads.
    void join()
    {
        for (auto const& item : workers)
            item->join();
        thread.join();
    }

    /// Waits for the next signal.
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

    /// What all threads share.
    instance_state state;
    /// Runs the control thread.
    asio::io_context context{1};
    /// Lets the instance leave.
    drain_controller drain;
    /// The operators' port.
    operator_server operators;
    /// Reads the platform's list.
    list_poller poller;
    /// Keeps the services up to date.
    service_manager control;
    /// Probes upstreams that are out of service.
    upstream_prober prober;
    /// Connects with the fleet, if there is one.
    std::unique_ptr<fleet_link> fleet;
    /// Paces tick().
    asio::steady_timer tick_timer;
    /// Whether the control thread ends.
    bool closing = false;
    /// SIGTERM and SIGINT, if asked for.
    asio::signal_set signals;
    /// The threads that serve callers.
    std::vector<std::unique_ptr<worker>> workers;
    /// The control thread.
    std::thread thread;
};

entry_instance::entry_instance(settings::instance_settings settings,
                               std::chrono::milliseconds grace,
                               fleet_mode mode)
    : parts_(std::make_unique<parts>(std::move(settings), grace, mode))
{
    auto const& state = parts_->state;
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
    asio::post(parts_->context,
               [this, next = std::move(document)]
               {
                   parts_->publish(next);
               });
}

void entry_instance::leave_on_signals()
{
    asio::post(parts_->context,
               [this]
               {
                   parts_->signals.add(SIGTERM);
                   parts_->signals.add(SIGINT);
                   parts_->wait_for_signal();
               });
}

void entry_instance::drain()
{
    asio::post(parts_->context,
               [this]
               {
                   parts_->drain.begin("program");
               });
}

void entry_instance::wait()
{
    if (parts_->thread.joinable())
        parts_->join();
}

std::uint16_t entry_instance::callers_port() const
{
    return parts_->state.callers_port;
}

std::uint16_t entry_instance::operators_port() const
{
    return parts_->state.operators_port;
}

} // namespace kumquatloom::entry
