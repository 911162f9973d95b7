#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/membership/cell_protocol.hpp>
#include <kumquatloom/peer/frame_codec.hpp>

#include <benchmark/benchmark.h>

#include <ctime>
#include <deque>
#include <malloc.h>
#include <map>
#include <string>
#include <vector>

// Measures the costs of the protocol between instances: bytes and CPU time of
// each kind of message, the traffic of a cell by its size, and the memory of
// members.

namespace
{

using namespace kumquatloom;
using namespace std::chrono_literals;

core::time_point const start{1000s};

peer::frame_codec_settings codec_settings(std::string const& self,
                                          peer::channel channel)
{
    peer::frame_codec_settings settings;
    settings.channel = channel;
    settings.fleet = "mbao";
    settings.keys = {{1, std::string(32, 'k')}};
    settings.self = core::instance_id(self);
    settings.incarnation = 7;
    return settings;
}

peer::heartbeat make_heartbeat(std::size_t suspicions)
{
    peer::heartbeat heartbeat;
    heartbeat.ready = true;
    heartbeat.state_offset = 61000;
    heartbeat.chain_digest = 1;
    heartbeat.document_version = 60000;
    heartbeat.failure_domain = core::failure_domain("nbi-west");
    heartbeat.region = core::region("nairobi");
    heartbeat.callers_address = "10.20.30.40:8080";
    for (std::size_t i = 0; i < suspicions; ++i)
        heartbeat.suspicions.push_back(
            {core::instance_id("nbi-west-" + std::to_string(i + 10)), 1, 1});
    return heartbeat;
}

peer::cell_digest make_digest(std::size_t members)
{
    peer::cell_digest digest;
    digest.region = core::region("nairobi");
    digest.relay = core::instance_id("nbi-west-10");
    digest.relay_address = "10.20.30.40:8081";
    digest.domains = {{core::failure_domain("nbi-west")},
                      {core::failure_domain("nbi-east")}};
    for (std::size_t i = 0; i < members; ++i)
        digest.members.push_back(
            {core::instance_id("nbi-west-" + std::to_string(i + 10)),
             1,
             "10.20.30.40:8080",
             "10.20.30.40:8081",
             0,
             true,
             true,
             false,
             100ms});
    return digest;
}

/// Makes a message of a kind. `size` is its number of suspicions, upstreams,
/// members or records.
peer::message make_message(peer::message_kind kind, std::size_t size)
{
    core::instance_id const id("nbi-west-10");
    switch (kind)
    {
    case peer::message_kind::heartbeat:
        return make_heartbeat(size);
    case peer::message_kind::probe:
        return peer::probe{1, id, 2};
    case peer::message_kind::indirect_probe:
        return peer::indirect_probe{1, id, 2, "10.20.30.40:8081"};
    case peer::message_kind::ack:
        return peer::ack{1, id, 2, 3, false, 4, 5, 6ms};
    case peer::message_kind::evidence:
        // Evidence takes about 24 bytes for each upstream that it covers.
        return peer::evidence{std::string(24 * size, 'e')};
    case peer::message_kind::leaving:
        return peer::leaving{1};
    case peer::message_kind::upstream_leaving:
        return peer::upstream_leaving{core::service_name("storefront"),
                                      core::upstream_id("storefront-12")};
    case peer::message_kind::cell_digest:
        return make_digest(size);
    case peer::message_kind::sync_request:
        return peer::sync_request{1, 2, 0, 0};
    case peer::message_kind::sync_response:
    {
        peer::sync_response response;
        response.nonce = 1;
        for (std::size_t i = 0; i < size; ++i)
            response.records.push_back({i, std::string(400, 'r')});
        return response;
    }
    case peer::message_kind::share_request:
        return peer::share_request{1, std::string(64, 's')};
    default:
        return peer::share_grant{1, std::string(64, 's')};
    }
}

void encode_frame(benchmark::State& state,
                  peer::message_kind kind,
                  std::size_t size)
{
    peer::frame_codec codec(
        codec_settings("nbi-west-11", peer::channel_of(kind)));
    auto const body = make_message(kind, size);
    std::size_t bytes = 0;
    for (auto step : state)
    {
        auto encoded = codec.encode(body);
        bytes = encoded.value().size();
        benchmark::DoNotOptimize(encoded);
    }
    state.counters["frame_bytes"] = static_cast<double>(bytes);
}

void decode_frame(benchmark::State& state,
                  peer::message_kind kind,
                  std::size_t size)
{
    auto const channel = peer::channel_of(kind);
    peer::frame_codec sender(codec_settings("nbi-west-11", channel));
    peer::frame_codec receiver(codec_settings("nbi-west-12", channel));
    auto const body = make_message(kind, size);
    // The receiver rejects replayed frames, so each is decoded only once; the
    // frames are encoded in batches outside the measured time.
    constexpr std::size_t batch = 512;
    std::vector<std::string> frames;
    std::size_t next = batch;
    for (auto step : state)
    {
        if (next == batch)
        {
            state.PauseTiming();
            frames.clear();
            for (std::size_t i = 0; i < batch; ++i)
                frames.push_back(sender.encode(body).value());
            next = 0;
            state.ResumeTiming();
        }
        auto decoded = receiver.decode(frames[next++], start);
        if (!decoded)
            state.SkipWithError("a frame was dropped");
        benchmark::DoNotOptimize(decoded);
    }
}

/// A cell of instances in simulated time. Frames are encoded and decoded as on
/// the wire, but delivered without a network.
class benchmark_cell
{
public:
    explicit benchmark_cell(std::size_t members)
    {
        std::vector<membership::listed_instance> list;
        for (std::size_t i = 0; i < members; ++i)
        {
            membership::local_identity identity;
            identity.id = core::instance_id("nbi-west-" + std::to_string(i));
            identity.incarnation = 7;
            identity.failure_domain =
                core::failure_domain(i % 2 == 0 ? "nbi-west" : "nbi-east");
            identity.region = core::region("nairobi");
            identity.peer_address = {"10.0.0." + std::to_string(i + 1), 81};
            identity.callers_address =
                "10.0.0." + std::to_string(i + 1) + ":8080";
            membership::cell_protocol_settings settings;
            settings.random_seed = i;
            list.push_back({identity.id,
                            identity.failure_domain,
                            identity.region,
                            identity.callers_address,
                            identity.peer_address,
                            false});
            by_host_[identity.peer_address.host] = i;
            addresses_.push_back(identity.peer_address);
            codecs_.emplace_back(
                codec_settings(identity.id.value(), peer::channel::datagram));
            instances_.emplace_back(settings, identity, start);
        }
        for (auto& instance : instances_)
            instance.apply_list(list, now_);
    }

    /// Runs one simulated second in steps of 100 ms.
    void run_second()
    {
        for (int step = 0; step < 10; ++step)
        {
            now_ += 100ms;
            for (std::size_t i = 0; i < instances_.size(); ++i)
            {
                membership::outbox out;
                if (instances_[i].reader())
                    instances_[i].log_read(now_);
                instances_[i].tick(now_, out);
                send(i, out);
            }
            deliver();
        }
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

    std::size_t frames() const
    {
        return frames_;
    }

private:
    struct packet
    {
        std::size_t to;
        settings::endpoint source;
        std::string bytes;
    };

    void send(std::size_t from, membership::outbox const& out)
    {
        for (auto const& item : out.datagrams)
        {
            auto const encoded = codecs_[from].encode(item.body);
            for (auto const& to : item.to)
            {
                auto const found = by_host_.find(to.address.host);
                if (found == by_host_.end())
                    continue;
                bytes_ += encoded.value().size();
                ++frames_;
                in_flight_.push_back(
                    {found->second, addresses_[from], encoded.value()});
            }
        }
    }

    void deliver()
    {
        while (!in_flight_.empty())
        {
            std::vector<packet> batch;
            batch.swap(in_flight_);
            for (auto const& item : batch)
            {
                auto const decoded = codecs_[item.to].decode(item.bytes, now_);
                if (!decoded)
                    continue;
                membership::outbox out;
                instances_[item.to].receive(
                    decoded.value(), item.source, now_, out);
                send(item.to, out);
            }
        }
    }

    core::time_point now_ = start;
    std::vector<membership::cell_protocol> instances_;
    std::deque<peer::frame_codec> codecs_;
    std::vector<settings::endpoint> addresses_;
    std::map<std::string, std::size_t> by_host_;
    std::vector<packet> in_flight_;
    std::size_t bytes_ = 0;
    std::size_t frames_ = 0;
};

/// Measures one simulated second of a cell; the counters are per instance.
void cell_second(benchmark::State& state)
{
    auto const members = static_cast<std::size_t>(state.range(0));
    benchmark_cell cell(members);
    // Skip the first seconds, in which the instances discover each other.
    for (int i = 0; i < 5; ++i)
        cell.run_second();
    auto const bytes = cell.bytes();
    auto const frames = cell.frames();
    auto const cpu_start = std::clock();
    for (auto step : state)
        cell.run_second();
    // CPU time instead of elapsed time, because the machine may be shared.
    double const cpu_us =
        static_cast<double>(std::clock() - cpu_start) * 1e6 / CLOCKS_PER_SEC;
    auto const seconds = static_cast<double>(state.iterations());
    auto const instance_seconds = seconds * static_cast<double>(members);
    state.counters["sent_bytes_per_s"] =
        static_cast<double>(cell.bytes() - bytes) / instance_seconds;
    state.counters["sent_frames_per_s"] =
        static_cast<double>(cell.frames() - frames) / instance_seconds;
    state.counters["cpu_us_per_s"] = cpu_us / instance_seconds;
}

/// Bytes that are currently allocated on the heap.
double allocated_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void member_memory(benchmark::State& state)
{
    constexpr std::size_t tables = 200;
    constexpr std::size_t members = 31;
    double per_member = 0;
    for (auto step : state)
    {
        auto const before = allocated_bytes();
        std::vector<membership::member_table> member_tables;
        for (std::size_t i = 0; i < tables; ++i)
        {
            member_tables.emplace_back(membership::member_table_settings(),
                                       core::instance_id("self"));
            for (std::size_t j = 0; j < members; ++j)
                member_tables.back().record(
                    core::instance_id("nbi-west-instance-" + std::to_string(j)),
                    7,
                    make_heartbeat(0),
                    {"10.20.30.40", 81},
                    start);
        }
        per_member = (allocated_bytes() - before) / (tables * members);
    }
    state.counters["bytes_per_member"] = per_member;
}

void remote_member_memory(benchmark::State& state)
{
    constexpr std::size_t members = 7000;
    double per_member = 0;
    for (auto step : state)
    {
        auto const before = allocated_bytes();
        membership::region_digest_table table({});
        for (std::size_t i = 0; i < members; ++i)
        {
            auto digest = make_digest(1);
            digest.cell = static_cast<std::uint16_t>(i / 24);
            digest.members[0].id =
                core::instance_id("nbi-west-instance-" + std::to_string(i));
            table.receive(digest, start);
        }
        per_member = (allocated_bytes() - before) / members;
    }
    state.counters["bytes_per_member"] = per_member;
}

void register_kind(peer::message_kind kind, std::size_t size)
{
    auto const name =
        std::string(peer::to_string(kind)) + "/" + std::to_string(size);
    benchmark::RegisterBenchmark(("encode/" + name).c_str(),
                                 [kind, size](benchmark::State& state)
                                 {
                                     encode_frame(state, kind, size);
                                 });
    benchmark::RegisterBenchmark(("decode/" + name).c_str(),
                                 [kind, size](benchmark::State& state)
                                 {
                                     decode_frame(state, kind, size);
                                 });
}

/// Registers the benchmarks before main() runs.
bool const registered = []
{
    using peer::message_kind;
    for (std::size_t const suspicions : {0, 8})
        register_kind(message_kind::heartbeat, suspicions);
    for (auto const kind : {message_kind::probe,
                            message_kind::indirect_probe,
                            message_kind::ack,
                            message_kind::leaving,
                            message_kind::upstream_leaving,
                            message_kind::sync_request,
                            message_kind::share_request,
                            message_kind::share_grant})
        register_kind(kind, 1);
    for (std::size_t const upstreams : {1, 8, 30, 38})
        register_kind(message_kind::evidence, upstreams);
    for (std::size_t const members : {8, 14})
        register_kind(message_kind::cell_digest, members);
    for (std::size_t const records : {1, 64, 256})
        register_kind(message_kind::sync_response, records);
    benchmark::RegisterBenchmark("cell_second", cell_second)
        ->Arg(8)
        ->Arg(16)
        ->Arg(24)
        ->Arg(32)
        ->Unit(benchmark::kMillisecond);
    benchmark::RegisterBenchmark("memory/member", member_memory)->Iterations(1);
    benchmark::RegisterBenchmark("memory/remote_member", remote_member_memory)
        ->Iterations(1);
    return true;
}();

} // namespace
