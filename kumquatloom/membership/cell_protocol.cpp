#include <kumquatloom/membership/cell_protocol.hpp>
#include <kumquatloom/membership/digest_builder.hpp>
#include <kumquatloom/membership/election.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace kumquatloom::membership
{

namespace
{

/// Cells and regions without a known relay are tried through this many listed
/// members at a time.
constexpr std::size_t contacts_per_round = 2;

/// Time without a digest after which another member of a cell or region is
/// tried.
constexpr std::chrono::milliseconds region_silence{2500};

/// Time for which the own cell may still get records that another cell has.
constexpr std::chrono::milliseconds outside_grace{1500};

/// Time after a pause in which messages may still come from the socket's
/// buffer. Those whose lateness is unknown are ignored then.
constexpr std::chrono::milliseconds settle_time{200};

std::chrono::milliseconds age_of(core::time_point then, core::time_point now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(now - then);
}

} // namespace

template <typename Predicate>
std::vector<peer::destination>
cell_protocol::listed_contacts(peer::peer_scope scope, Predicate matches) const
{
    std::vector<listed_instance const*> listed;
    for (auto const& named : list_)
        if (!named.leaving && matches(named))
            listed.push_back(&named);
    // Successive rounds try all of them in turn.
    std::vector<peer::destination> result;
    for (std::size_t i = 0; i < std::min(contacts_per_round, listed.size());
         ++i)
    {
        auto const position =
            (digest_round_ * contacts_per_round + i) % listed.size();
        result.push_back({listed[position]->peer_address, scope});
    }
    return result;
}

cell_protocol::cell_protocol(cell_protocol_settings settings,
                             local_identity identity,
                             core::time_point now)
    : settings_(std::move(settings))
    , identity_(std::move(identity))
    , started_(now)
    , table_(settings_.table, identity_.id)
    , probes_(settings_.probes, settings_.random_seed)
    , reader_election_(settings_.readers, identity_.id, identity_.region)
    , relay_election_(identity_.id, identity_.region)
    , digests_(settings_.digests)
    , replicator_(settings_.replication,
                  identity_.failure_domain,
                  settings_.random_seed + 1)
    , last_step_(now)
    , next_heartbeat_(now)
    , next_freshness_probe_(now)
    , next_digest_(now)
{
    update_cells();
}

void cell_protocol::tick(core::time_point now, outbox& out)
{
    note_time(now);
    table_.judge(now);
    digests_.expire(now);
    update_cells();
    update_roles(now);
    if (now >= next_heartbeat_)
        send_heartbeat(now, out);
    probes_.tick(table_, now, out);
    if (now >= next_freshness_probe_)
        probe_for_freshness(now, out);
    if (relay_ && now >= next_digest_)
        send_digests(now, out);
    replicator_.tick(table_, state_, now, out);
    if (relay_)
        ask_outside(now, out);
}

void cell_protocol::receive(peer::frame const& received,
                            settings::endpoint const& source,
                            core::time_point now,
                            outbox& out)
{
    // Frames that waited in the socket during a pause must not be judged by.
    note_time(now);
    if (std::holds_alternative<peer::heartbeat>(received.body))
        receive_heartbeat(received, source, now, out);
    else if (auto const* asked = std::get_if<peer::probe>(&received.body))
        receive_probe(*asked, source, now, out);
    else if (auto const* order =
                 std::get_if<peer::indirect_probe>(&received.body))
        receive_indirect_probe(*order, source, now, out);
    else if (auto const* answer = std::get_if<peer::ack>(&received.body))
        receive_ack(*answer, received.sender, now, out);
    else if (std::holds_alternative<peer::leaving>(received.body))
        table_.hear_leaving(received.sender, received.incarnation);
    else if (std::holds_alternative<peer::cell_digest>(received.body))
        receive_digest(received, now, out);
}

void cell_protocol::apply_list(std::vector<listed_instance> list,
                               core::time_point now)
{
    list_ = std::move(list);
    update_cells();
    std::vector<listed_instance> cell;
    for (auto const& named : list_)
        if (named.region == identity_.region &&
            cells_.cell_of(named.id) == own_cell())
            cell.push_back(named);
    table_.apply_list(cell, now);
}

void cell_protocol::update_state(local_state const& state)
{
    state_ = state;
    freshness_.advance(state.state_offset, state.chain_digest);
}

void cell_protocol::records_applied(local_state const& state,
                                    record_origin origin,
                                    outbox& out)
{
    update_state(state);
    // Of several readers only the first pushes, which saves duplicates.
    if (origin == record_origin::outside_peer ||
        (origin == record_origin::log && first_reader_))
    {
        record_replicator::push(table_, state_, out);
        for (auto const& [key, summary] : digests_.cells())
            if (key.first == identity_.region && origin == record_origin::log &&
                summary.highest_offset < state_.state_offset)
                out.pushes.push_back(
                    {summary.relay,
                     {summary.relay_address, peer::peer_scope::same_region},
                     summary.highest_offset + 1});
    }
}

void cell_protocol::log_read(core::time_point sent)
{
    freshness_.read_log(sent);
    last_log_read_ = std::max(last_log_read_, sent);
    log_failed_until_ = core::time_point();
}

void cell_protocol::log_failed(core::time_point now)
{
    log_failed_until_ = now + settings_.log_retry;
    // The others learn it at once, so that the next one takes over.
    next_heartbeat_ = now;
}

bool cell_protocol::sync_answered(peer::sync_response const& response)
{
    auto const sent = replicator_.answered(response.nonce);
    if (!sent)
        return false;
    claim(response.state_offset,
          response.chain_digest,
          *sent - response.freshness_age);
    return true;
}

void cell_protocol::sync_failed(std::uint64_t nonce)
{
    replicator_.failed(nonce);
}

void cell_protocol::begin_leaving(core::time_point now, outbox& out)
{
    if (leaving_)
        return;
    leaving_ = true;
    update_roles(now);
    auto targets = cell_destinations();
    if (!targets.empty())
        out.datagrams.push_back(
            {std::move(targets), peer::leaving{refutation_}});
    // The heartbeats from now on repeat the word, in case this is lost.
    send_heartbeat(now, out);
}

void cell_protocol::adopt_incarnation(core::incarnation incarnation)
{
    BOOST_ASSERT(incarnation > identity_.incarnation);
    identity_.incarnation = incarnation;
    if (higher_incarnation_ && *higher_incarnation_ <= incarnation)
        higher_incarnation_.reset();
}

std::chrono::milliseconds
cell_protocol::freshness_age(core::time_point now) const
{
    return freshness_.age(now);
}

bool cell_protocol::fresh(core::time_point now) const
{
    return freshness_.age(now) <= settings_.freshness_lease;
}

cell_map::cell_index cell_protocol::own_cell() const
{
    return cells_.cell_of(identity_.id).value_or(0);
}

cell_protocol::holders cell_protocol::holders_of(core::log_offset offset) const
{
    holders result;
    for (auto const& entry : table_.members())
    {
        if (!entry.second.live())
            continue;
        ++result.live;
        result.holding += entry.second.state_offset >= offset ? 1 : 0;
    }
    return result;
}

std::vector<known_instance>
cell_protocol::known_instances(core::time_point now) const
{
    std::vector<known_instance> result;
    result.push_back({identity_.id,
                      identity_.callers_address,
                      identity_.failure_domain,
                      identity_.region,
                      now,
                      state_.ready,
                      fresh(now),
                      leaving_});
    for (auto const& [id, item] : table_.members())
        if (item.heard())
            result.push_back(
                {id,
                 item.callers_address,
                 item.failure_domain,
                 item.region,
                 item.last_heard,
                 item.ready,
                 now - item.fresh_as_of <= settings_.freshness_lease,
                 item.state == member_state::leaving});
    // What a member said itself outranks what a digest says about it.
    for (auto const& [id, item] : digests_.members())
        if (id != identity_.id &&
            (table_.find(id) == nullptr || !table_.find(id)->heard()))
            result.push_back(item.instance);
    return result;
}

void cell_protocol::note_time(core::time_point now)
{
    auto const gap = now - last_step_;
    last_step_ = std::max(last_step_, now);
    if (gap < settings_.pause_threshold)
        return;
    // The others may have spoken while this process did not run, so that time
    // says nothing about them. The own freshness ages by itself.
    ++pauses_;
    settled_at_ = now + settle_time;
    table_.excuse(gap, now);
}

void cell_protocol::update_roles(core::time_point now)
{
    auto const readers = reader_election_.readers(
        table_, now >= log_failed_until_, leaving_, now);
    auto const rank = rank_of(identity_.id, readers);
    bool const was_reader = reader_;
    reader_ = rank < readers.size();
    if (reader_ && !was_reader)
        last_log_read_ = now;
    if (reader_ && now - last_log_read_ >= settings_.log_timeout)
    {
        last_log_read_ = now;
        log_failed(now);
    }
    first_reader_ = reader_ && rank == 0;
    relay_ = relay_election_.relay(table_, leaving_, now) == identity_.id;
}

void cell_protocol::update_cells()
{
    std::set<core::instance_id> members{identity_.id};
    for (auto const& named : list_)
        if (named.region == identity_.region)
            members.insert(named.id);
    for (auto const& [id, item] : table_.members())
        if (item.heard() && item.region == identity_.region)
            members.insert(id);
    // The map is costly in a large region, so it is made for changes only.
    if (std::equal(members.begin(),
                   members.end(),
                   mapped_members_.begin(),
                   mapped_members_.end()))
        return;
    mapped_members_.assign(members.begin(), members.end());
    cells_ = cell_map(mapped_members_);
}

void cell_protocol::receive_heartbeat(peer::frame const& received,
                                      settings::endpoint const& source,
                                      core::time_point now,
                                      outbox& out)
{
    auto const& beat = std::get<peer::heartbeat>(received.body);
    // An instance of another region or cell uses this one as its seed, and is
    // told about its own region.
    if (beat.region != identity_.region || !belongs_here(received.sender))
    {
        auto const scope = beat.region == identity_.region
                               ? peer::peer_scope::same_region
                               : peer::peer_scope::other_region;
        for (auto& digest : digests_.digests_of(beat.region, now))
        {
            speak_for(digest, 0, now);
            out.datagrams.push_back({{{source, scope}}, std::move(digest)});
        }
        return;
    }
    auto const* const known = table_.find(received.sender);
    if (now < settled_at_ &&
        (known == nullptr || known->incarnation != received.incarnation))
        return;
    auto const how =
        table_.record(received.sender, received.incarnation, beat, source, now);
    if (how == member_table::contact::ignored)
    {
        // Tells a process with an outdated incarnation that it has one.
        if (known != nullptr && known->incarnation > received.incarnation)
            out.datagrams.push_back(
                {{{source, peer::peer_scope::same_region}},
                 peer::probe{0, known->id, known->incarnation}});
        return;
    }
    if (how == member_table::contact::first)
        for (auto& digest : own_digests(now))
            out.datagrams.push_back(
                {{{source, peer::peer_scope::same_region}}, std::move(digest)});
    receive_suspicions(beat, now, out);
}

void cell_protocol::receive_suspicions(peer::heartbeat const& beat,
                                       core::time_point now,
                                       outbox& out)
{
    for (auto const& item : beat.suspicions)
    {
        if (item.member != identity_.id)
        {
            table_.accuse(item.member, item.incarnation, item.refutation);
            continue;
        }
        if (item.incarnation > identity_.incarnation)
            higher_incarnation_ =
                std::max(higher_incarnation_.value_or(0), item.incarnation);
        if (item.incarnation != identity_.incarnation ||
            item.refutation < refutation_)
            continue;
        refutation_ = item.refutation + 1;
        send_heartbeat(now, out);
    }
}

void cell_protocol::receive_probe(peer::probe const& asked,
                                  settings::endpoint const& source,
                                  core::time_point now,
                                  outbox& out)
{
    if (asked.target != identity_.id)
        return;
    if (asked.target_incarnation > identity_.incarnation)
        higher_incarnation_ =
            std::max(higher_incarnation_.value_or(0), asked.target_incarnation);
    out.datagrams.push_back({{{source, peer::peer_scope::same_region}},
                             peer::ack{asked.nonce,
                                       identity_.id,
                                       identity_.incarnation,
                                       refutation_,
                                       leaving_,
                                       state_.state_offset,
                                       state_.chain_digest,
                                       freshness_.age(now)}});
}

void cell_protocol::receive_indirect_probe(peer::indirect_probe const& order,
                                           settings::endpoint const& source,
                                           core::time_point now,
                                           outbox& out)
{
    // Only known addresses are probed, so that nobody can direct datagrams at
    // other hosts.
    auto const* const target = table_.find(order.target);
    if (target != nullptr)
        probes_.probe_for(order,
                          {source, peer::peer_scope::same_region},
                          {target->peer_address, peer::peer_scope::same_region},
                          now,
                          out);
}

void cell_protocol::receive_ack(peer::ack const& answer,
                                core::instance_id const& sender,
                                core::time_point now,
                                outbox& out)
{
    auto const confirmed = probes_.receive(answer, sender, now, out);
    if (!confirmed)
        return;
    table_.record(answer, confirmed->direct, confirmed->asked, now);
    claim(answer.state_offset,
          answer.chain_digest,
          confirmed->asked - answer.freshness_age);
}

void cell_protocol::receive_digest(peer::frame const& received,
                                   core::time_point now,
                                   outbox& out)
{
    auto digest = std::get<peer::cell_digest>(received.body);
    // The time on the way and in the own socket counts as age as well.
    auto late = table_.lateness(
        received.sender, received.incarnation, digest.uptime, now);
    if (!late)
        late = outside_lateness_.lateness(
            received.sender, received.incarnation, digest.uptime, now);
    if (!late && now < settled_at_)
        return;
    for (auto& item : digest.members)
        item.age += std::chrono::ceil<std::chrono::milliseconds>(
            late.value_or(core::duration::zero()));
    for (auto const& item : digest.members)
        if (item.id == identity_.id && item.incarnation > identity_.incarnation)
            higher_incarnation_ =
                std::max(higher_incarnation_.value_or(0), item.incarnation);
    if (digest.region == identity_.region && digest.cell == own_cell())
    {
        // A member introduces this newcomer to the others.
        for (auto const& item : digest.members)
        {
            auto const address = settings::parse_endpoint(item.peer_address);
            if (address && !item.leaving &&
                item.domain_index < digest.domains.size())
                table_.add_contact({item.id,
                                    digest.domains[item.domain_index].name,
                                    digest.region,
                                    item.callers_address,
                                    *address,
                                    false},
                                   now);
        }
        return;
    }
    digests_.receive(digest, now);
    if (digest.hops > 0)
        pass_on(std::move(digest), now, out);
}

void cell_protocol::pass_on(peer::cell_digest digest,
                            core::time_point now,
                            outbox& out)
{
    digest.uptime = uptime(now);
    // What comes from another region also goes to the region's other cells.
    if (digest.hops > 1)
    {
        digest.hops = 1;
        for (auto const& [key, summary] : digests_.cells())
            if (key.first == identity_.region)
                out.datagrams.push_back(
                    {{{summary.relay_address, peer::peer_scope::same_region}},
                     digest});
    }
    digest.hops = 0;
    auto targets = cell_destinations();
    if (!targets.empty())
        out.datagrams.push_back({std::move(targets), std::move(digest)});
}

void cell_protocol::speak_for(peer::cell_digest& digest,
                              std::uint8_t hops,
                              core::time_point now) const
{
    digest.uptime = uptime(now);
    digest.hops = hops;
    digest.relay = identity_.id;
    digest.relay_address = settings::to_string(identity_.peer_address);
}

void cell_protocol::claim(core::log_offset offset,
                          std::uint64_t digest,
                          core::time_point as_of)
{
    if (!freshness_.claim(offset, digest, as_of))
        ++diverging_states_;
}

void cell_protocol::send_heartbeat(core::time_point now, outbox& out)
{
    next_heartbeat_ = now + settings_.heartbeat_interval;
    auto targets = cell_destinations();
    if (targets.empty())
        return;
    peer::heartbeat beat;
    beat.state =
        leaving_ ? peer::announced_state::leaving : peer::announced_state::live;
    beat.ready = state_.ready;
    beat.reader = reader_;
    beat.log_readable = now >= log_failed_until_;
    beat.relay = relay_;
    beat.refutation = refutation_;
    beat.uptime = uptime(now);
    beat.state_offset = state_.state_offset;
    beat.chain_digest = state_.chain_digest;
    beat.document_version = state_.document_version;
    beat.freshness_age = freshness_.age(now);
    beat.failure_domain = identity_.failure_domain;
    beat.region = identity_.region;
    beat.callers_address = identity_.callers_address;
    beat.suspicions = suspicions();
    out.datagrams.push_back({std::move(targets), std::move(beat)});
}

void cell_protocol::probe_for_freshness(core::time_point now, outbox& out)
{
    next_freshness_probe_ = now + settings_.freshness_interval;
    if (reader_ && freshness_.age(now) < settings_.log_timeout)
        return;
    // Asks a member that reads the log, or else the freshest one.
    member const* best = nullptr;
    for (auto const& entry : table_.members())
    {
        member const& item = entry.second;
        if (!item.live())
            continue;
        if (best == nullptr ||
            std::make_pair(item.reader, item.fresh_as_of) >
                std::make_pair(best->reader, best->fresh_as_of))
            best = &item;
    }
    if (best != nullptr)
        probes_.probe(*best, now, out);
}

void cell_protocol::send_digests(core::time_point now, outbox& out)
{
    next_digest_ = now + settings_.digest_interval;
    ++digest_round_;
    auto own = own_digests(now);
    for (auto& digest : own)
        speak_for(digest, 1, now);

    // The other cells of the region get the own cell only.
    for (std::size_t cell = 0; cell < cells_.cells(); ++cell)
        if (cell != own_cell())
        {
            auto const targets =
                cell_contacts(static_cast<cell_map::cell_index>(cell), now);
            if (!targets.empty())
                for (auto const& digest : own)
                    out.datagrams.push_back({targets, digest});
        }
    if (cells_.cells() > 1 &&
        own_cell() != cells_.cell_of(core::service_name("relay")))
        return;

    // One cell speaks for the whole region towards the other regions.
    auto all = digests_.digests_of(identity_.region, now);
    all.insert(all.end(), own.begin(), own.end());
    for (auto& digest : all)
        speak_for(digest, 2, now);
    std::set<core::region> regions;
    for (auto const& named : list_)
        if (named.region != identity_.region)
            regions.insert(named.region);
    for (auto const& entry : digests_.cells())
        if (entry.first.first != identity_.region)
            regions.insert(entry.first.first);
    for (auto const& region : regions)
        send_digests_to_region(region, all, now, out);
}

void cell_protocol::send_digests_to_region(
    core::region const& region,
    std::vector<peer::cell_digest> const& digests,
    core::time_point now,
    outbox& out)
{
    // Who sent the last digest is a relay over there.
    region_digest_table::cell_summary const* last = nullptr;
    for (auto const& [key, summary] : digests_.cells())
        if (key.first == region &&
            (last == nullptr || summary.received > last->received))
            last = &summary;
    std::vector<peer::destination> targets;
    if (last != nullptr && now - last->received < region_silence)
        targets.push_back(
            {last->relay_address, peer::peer_scope::other_region});
    else
        targets = listed_contacts(peer::peer_scope::other_region,
                                  [&region](listed_instance const& named)
                                  {
                                      return named.region == region;
                                  });
    if (targets.empty())
        return;
    for (auto const& digest : digests)
        out.datagrams.push_back({targets, digest});
}

std::vector<peer::destination>
cell_protocol::cell_contacts(cell_map::cell_index cell,
                             core::time_point now) const
{
    auto const found = digests_.cells().find({identity_.region, cell});
    if (found != digests_.cells().end() &&
        now - found->second.received < region_silence)
        return {{found->second.relay_address, peer::peer_scope::same_region}};
    return listed_contacts(peer::peer_scope::same_region,
                           [this, cell](listed_instance const& named)
                           {
                               return cells_.cell_of(named.id) == cell;
                           });
}

std::chrono::milliseconds cell_protocol::uptime(core::time_point now) const
{
    return std::chrono::floor<std::chrono::milliseconds>(now - started_);
}

void cell_protocol::ask_outside(core::time_point now, outbox& out)
{
    region_digest_table::cell_key const* best_key = nullptr;
    region_digest_table::cell_summary const* best = nullptr;
    for (auto const& [key, summary] : digests_.cells())
        if (summary.highest_offset > state_.state_offset &&
            now - summary.received < region_silence &&
            (best == nullptr || summary.highest_offset > best->highest_offset))
        {
            best_key = &key;
            best = &summary;
        }
    if (best == nullptr)
    {
        behind_outside_since_.reset();
        return;
    }
    if (!behind_outside_since_)
        behind_outside_since_ = now;
    // The own readers come first, so that a change crosses the link once.
    if (now - *behind_outside_since_ < outside_grace)
        return;
    auto const scope = best_key->first == identity_.region
                           ? peer::peer_scope::same_region
                           : peer::peer_scope::other_region;
    replicator_.ask_outside(
        best->relay, {best->relay_address, scope}, state_, now, out);
}

bool cell_protocol::belongs_here(core::instance_id const& id) const
{
    // A member that is not mapped yet is a contact of this cell.
    return cells_.cell_of(id).value_or(own_cell()) == own_cell();
}

std::vector<peer::destination> cell_protocol::cell_destinations() const
{
    std::vector<peer::destination> result;
    bool heard_any = false;
    for (auto const& [id, item] : table_.members())
    {
        heard_any = heard_any || item.heard();
        if (belongs_here(id))
            result.push_back(
                {item.peer_address, peer::peer_scope::same_region});
    }
    if (!heard_any)
        for (auto const& seed : settings_.seeds)
            if (seed != identity_.peer_address)
                result.push_back({seed, peer::peer_scope::same_region});
    return result;
}

std::vector<peer::cell_digest>
cell_protocol::own_digests(core::time_point now) const
{
    auto lowest = state_.state_offset;
    auto highest = state_.state_offset;
    for (auto const& entry : table_.members())
        if (entry.second.live())
        {
            lowest = std::min(lowest, entry.second.state_offset);
            highest = std::max(highest, entry.second.state_offset);
        }
    digest_builder builder(identity_.region, own_cell(), lowest, highest);
    builder.add({identity_.id,
                 identity_.incarnation,
                 identity_.callers_address,
                 settings::to_string(identity_.peer_address),
                 0,
                 state_.ready,
                 fresh(now),
                 leaving_,
                 std::chrono::milliseconds(0)},
                identity_.failure_domain);
    for (auto const& [id, item] : table_.members())
        if (item.heard() && belongs_here(id) &&
            now - item.last_heard <= settings_.digest_age_limit)
            builder.add({id,
                         item.incarnation,
                         item.callers_address,
                         settings::to_string(item.peer_address),
                         0,
                         item.ready,
                         now - item.fresh_as_of <= settings_.freshness_lease,
                         item.state == member_state::leaving,
                         age_of(item.last_heard, now)},
                        item.failure_domain);
    auto result = builder.finish();
    for (auto& digest : result)
        speak_for(digest, 0, now);
    return result;
}

std::vector<peer::suspicion> cell_protocol::suspicions() const
{
    std::vector<peer::suspicion> result;
    for (auto const& [id, item] : table_.members())
        if (item.state == member_state::suspect &&
            result.size() < peer::max_suspicions)
            result.push_back({id, item.incarnation, item.refutation});
    return result;
}

} // namespace kumquatloom::membership
