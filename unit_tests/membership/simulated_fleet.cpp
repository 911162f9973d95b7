#include <kumquatloom/directory/entry_directory.hpp>

#include <algorithm>
#include <unit_tests/membership/simulated_fleet.hpp>

namespace kumquatloom::membership
{

namespace
{

std::uint64_t digest_of(core::log_offset offset)
{
    return offset * 0x9E3779B97F4A7C15ULL;
}

std::string host_of(std::size_t index)
{
    return "10.0." + std::to_string(index / 250) + "." +
           std::to_string(index % 250 + 1);
}

std::string region_of(std::string const& domain)
{
    return domain.substr(0, 3) == "nbi" ? "nairobi" : "mombasa";
}

} // namespace

simulated_fleet::simulated_fleet(std::size_t per_domain, std::uint32_t seed)
    : random_(seed)
    , now_(std::chrono::hours(1))
{
    for (auto const* domain :
         {"nbi-west", "nbi-east", "msa-north", "msa-south"})
        for (std::size_t i = 0; i < per_domain; ++i)
            start(domain);
    // The initial instances start with the complete list.
    read_list();
    for (auto& item : instances)
        item.protocol->apply_list(published_lists_.begin()->second, now_);
}

std::size_t simulated_fleet::start(std::string const& domain, std::string name)
{
    auto const index = instances.size();
    auto const number = std::to_string(index);
    simulated_instance item;
    item.identity.id =
        core::instance_id(name.empty() ? domain + "-" + number : name);
    item.identity.incarnation = next_incarnation_++;
    item.identity.failure_domain = core::failure_domain(domain);
    item.identity.region = core::region(region_of(domain));
    auto const host = host_of(index);
    item.identity.callers_address = host + ":80";
    item.identity.peer_address = {host, 81};
    by_address_[host] = index;
    cell_protocol_settings settings;
    settings.random_seed = random_();
    settings.seeds = {{host_of(0), 81}, {host_of(1), 81}};
    item.protocol =
        std::make_unique<cell_protocol>(settings, item.identity, now_);
    item.state.ready = true;
    item.protocol->update_state(item.state);
    if (!published_lists_.empty() && list_reachable)
        item.protocol->apply_list(published_lists_.begin()->second, now_);
    instances.push_back(std::move(item));
    return index;
}

void simulated_fleet::crash(std::size_t index)
{
    instances[index].running = false;
}

std::size_t simulated_fleet::restart(std::size_t index,
                                     std::int64_t incarnation_step)
{
    crash(index);
    auto const identity = instances[index].identity;
    auto const saved = next_incarnation_;
    next_incarnation_ = static_cast<std::uint64_t>(
        static_cast<std::int64_t>(identity.incarnation) + incarnation_step);
    auto const restarted =
        start(identity.failure_domain.value(), identity.id.value());
    next_incarnation_ = std::max(saved, next_incarnation_);
    return restarted;
}

void simulated_fleet::begin_leaving(std::size_t index)
{
    outbox out;
    instances[index].protocol->begin_leaving(now_, out);
    send(index, out);
}

void simulated_fleet::pause(std::size_t index)
{
    instances[index].paused = true;
}

void simulated_fleet::resume(std::size_t index)
{
    auto& item = instances[index];
    item.paused = false;
    // Deliver the buffered datagrams; a receive buffer keeps the oldest ones.
    for (auto const position : item.buffered)
        deliver(buffered_packets_[position]);
    item.buffered.clear();
}

void simulated_fleet::cut(std::size_t from, std::size_t to, bool is_cut)
{
    if (is_cut)
        cuts_.emplace(from, to);
    else
        cuts_.erase({from, to});
}

void simulated_fleet::cut_regions(bool are_cut)
{
    regions_cut_ = are_cut;
}

bool simulated_fleet::lists_for_callers(std::size_t observer,
                                        std::size_t subject) const
{
    auto const& own = instances[observer].identity;
    directory::entry_directory const entries(
        {}, own.failure_domain, own.region);
    for (auto const& known :
         instances[observer].protocol->known_instances(now_))
        if (known.callers_address ==
                instances[subject].identity.callers_address &&
            entries.is_listable(known, now_))
            return true;
    return false;
}

member_state simulated_fleet::state_of(std::size_t observer,
                                       std::size_t subject) const
{
    auto const* const known = instances[observer].protocol->table().find(
        instances[subject].identity.id);
    return known == nullptr ? member_state::unheard : known->state;
}

std::string simulated_fleet::differences() const
{
    std::string result;
    auto const expected = running();
    for (auto const observer : expected)
        for (std::size_t subject = 0; subject < instances.size(); ++subject)
        {
            bool const wanted = instances[subject].running &&
                                !instances[subject].protocol->leaving();
            // A few entries suffice to find the cause.
            if (result.size() < 200 &&
                lists_for_callers(observer, subject) != wanted)
                result += std::to_string(observer) +
                          (wanted ? " misses " : " wrongly lists ") +
                          std::to_string(subject) + "; ";
        }
    return result;
}

std::map<core::region, std::size_t> simulated_fleet::readers() const
{
    std::map<core::region, std::size_t> result;
    for (auto const index : running())
        result[instances[index].identity.region] +=
            instances[index].protocol->reader() ? 1 : 0;
    return result;
}

std::vector<std::size_t> simulated_fleet::running() const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < instances.size(); ++i)
        if (instances[i].running && !instances[i].protocol->leaving())
            result.push_back(i);
    return result;
}

void simulated_fleet::step()
{
    now_ += step_length;
    if (now_ >= next_list_read_)
        read_list();
    while (!packets_.empty() && packets_.begin()->first <= now_)
    {
        auto const item = packets_.begin()->second;
        packets_.erase(packets_.begin());
        deliver(item);
    }
    for (std::size_t i = 0; i < instances.size(); ++i)
        if (instances[i].running && !instances[i].paused)
            tick(i);
}

void simulated_fleet::tick(std::size_t index)
{
    auto& item = instances[index];
    outbox out;
    if (item.protocol->reader() && item.log_reachable)
    {
        if (item.state.state_offset < head_)
            apply_records(index, head_, record_origin::log, out);
        item.protocol->log_read(now_);
    }
    item.protocol->tick(now_, out);
    send(index, out);
}

void simulated_fleet::read_list()
{
    next_list_read_ = now_ + std::chrono::milliseconds(500);
    std::vector<listed_instance> list;
    for (auto const& item : instances)
        if (item.running)
            list.push_back({item.identity.id,
                            item.identity.failure_domain,
                            item.identity.region,
                            item.identity.callers_address,
                            item.identity.peer_address,
                            item.protocol->leaving()});
    published_lists_.emplace(now_ + list_lag, std::move(list));
    // Only the newest list that is old enough is visible.
    while (published_lists_.size() > 1 &&
           std::next(published_lists_.begin())->first <= now_)
        published_lists_.erase(published_lists_.begin());
    if (!list_reachable)
        return;
    for (auto& item : instances)
        if (item.running && !item.paused)
            item.protocol->apply_list(published_lists_.begin()->second, now_);
}

void simulated_fleet::deliver(packet const& item)
{
    auto& target = instances[item.to];
    if (!target.running)
        return;
    if (target.paused)
    {
        constexpr std::size_t socket_buffer_packets = 300;
        if (target.buffered.size() < socket_buffer_packets)
        {
            target.buffered.push_back(buffered_packets_.size());
            buffered_packets_.push_back(item);
        }
        return;
    }
    outbox out;
    peer::frame frame;
    frame.sender = instances[item.from].identity.id;
    frame.incarnation = item.incarnation;
    frame.body = *item.body;
    if (std::holds_alternative<peer::sync_request>(*item.body) ||
        std::holds_alternative<peer::sync_response>(*item.body))
        deliver_sync(item, out);
    else
        target.protocol->receive(frame, item.source, now_, out);
    send(item.to, out);
}

void simulated_fleet::deliver_sync(packet const& item, outbox& out)
{
    auto& target = instances[item.to];
    if (auto const* request = std::get_if<peer::sync_request>(item.body.get()))
    {
        peer::sync_response response;
        response.nonce = request->nonce;
        response.state_offset = target.state.state_offset;
        response.chain_digest = target.state.chain_digest;
        response.freshness_age = target.protocol->freshness_age(now_);
        send_packet(item.to,
                    {item.source, peer::peer_scope::same_region},
                    std::make_shared<peer::message const>(response),
                    true);
        return;
    }
    auto const& response = std::get<peer::sync_response>(*item.body);
    if (response.nonce != 0)
        target.protocol->sync_answered(response);
    bool const member = target.protocol->table().find(
                            instances[item.from].identity.id) != nullptr;
    if (response.state_offset > target.state.state_offset)
        apply_records(item.to,
                      response.state_offset,
                      member ? record_origin::cell_member
                             : record_origin::outside_peer,
                      out);
}

void simulated_fleet::apply_records(std::size_t index,
                                    core::log_offset offset,
                                    record_origin origin,
                                    outbox& out)
{
    auto& item = instances[index];
    item.state.state_offset = offset;
    item.state.document_version = offset;
    item.state.chain_digest = digest_of(offset);
    item.protocol->records_applied(item.state, origin, out);
}

void simulated_fleet::send(std::size_t from, outbox& out)
{
    for (auto& item : out.datagrams)
    {
        auto const body =
            std::make_shared<peer::message const>(std::move(item.body));
        for (auto const& to : item.to)
            send_packet(from, to, body, false);
    }
    for (auto& item : out.syncs)
        send_packet(from,
                    item.to,
                    std::make_shared<peer::message const>(item.request),
                    true);
    for (auto& item : out.pushes)
    {
        peer::sync_response push;
        push.state_offset = instances[from].state.state_offset;
        push.chain_digest = instances[from].state.chain_digest;
        send_packet(
            from, item.to, std::make_shared<peer::message const>(push), true);
    }
}

void simulated_fleet::send_packet(std::size_t from,
                                  peer::destination const& to,
                                  std::shared_ptr<peer::message const> body,
                                  bool stream)
{
    auto const target = index_of(to.address);
    if (target == instances.size())
        return;
    if (stream &&
        instances[from].identity.region != instances[target].identity.region)
        ++syncs_across_regions;
    // A stream needs both directions and retransmits lost data.
    if (is_cut(from, target) || (stream && is_cut(target, from)))
        return;
    if (!stream && std::bernoulli_distribution(faults.loss)(random_))
        return;
    auto const delay = std::uniform_int_distribution<std::int64_t>(
        faults.min_delay.count(), faults.max_delay.count())(random_);
    packets_.emplace(now_ + std::chrono::milliseconds(delay),
                     packet{from,
                            target,
                            instances[from].identity.peer_address,
                            instances[from].identity.incarnation,
                            std::move(body),
                            stream});
}

bool simulated_fleet::is_cut(std::size_t from, std::size_t to) const
{
    return cuts_.contains({from, to}) ||
           (regions_cut_ &&
            instances[from].identity.region != instances[to].identity.region);
}

std::size_t simulated_fleet::index_of(settings::endpoint const& address) const
{
    auto const found = by_address_.find(address.host);
    return found == by_address_.end() ? instances.size() : found->second;
}

} // namespace kumquatloom::membership
