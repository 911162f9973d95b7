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

/// Number of listed members that are tried at a time if a cell or region has no
/// known relay.
constexpr std::size_t contacts_per_round = 2;

/// Time without a digest after which another member of a cell or region is
/// tried as relay.
constexpr std::chrono::milliseconds digest_timeout{2500};

/// Time to wait for records from the own cell's readers before they are
/// requested from another cell that already has them.
constexpr std::chrono::milliseconds outside_sync_delay{1500};

/// Time after a pause of this process in which received messages may be old
/// ones from the socket buffer. Those whose lateness cannot be measured are
/// ignored.
constexpr std::chrono::milliseconds buffered_message_time{200};

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
    for (auto const& instance : list_)
        if (!instance.leaving && matches(instance))
            listed.push_back(&instance);
    // Successive rounds go through all candidates.
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
    detect_pause(now);
    table_.update_states(now);
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
        request_from_outside(now, out);
}

void cell_protocol::receive(peer::frame const& received,
                            settings::endpoint const& source,
                            core::time_point now,
                            outbox& out)
{
    // Detect a pause before judging members by frames that waited in the socket
    // buffer.
    detect_pause(now);
    if (std::holds_alternative<peer::heartbeat>(received.body))
        receive_heartbeat(received, source, now, out);
    else if (auto const* probe = std::get_if<peer::probe>(&received.body))
        receive_probe(*probe, source, now, out);
    else if (auto const* indirect =
                 std::get_if<peer::indirect_probe>(&received.body))
        receive_indirect_probe(*indirect, source, now, out);
    else if (auto const* ack = std::get_if<peer::ack>(&received.body))
        receive_ack(*ack, received.sender, now, out);
    else if (std::holds_alternative<peer::leaving>(received.body))
        table_.record_leaving(received.sender, received.incarnation);
    else if (std::holds_alternative<peer::cell_digest>(received.body))
        receive_digest(received, now, out);
}

void cell_protocol::apply_list(std::vector<listed_instance> list,
                               core::time_point now)
{
    list_ = std::move(list);
    update_cells();
    std::vector<listed_instance> cell_instances;
    for (auto const& instance : list_)
        if (instance.region == identity_.region &&
            cells_.cell_of(instance.id) == own_cell())
            cell_instances.push_back(instance);
    table_.apply_list(cell_instances, now);
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
    // Of the readers of the log, only the first one pushes, to avoid
    // duplicates.
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
    freshness_.record_log_read(sent);
    last_log_read_ = std::max(last_log_read_, sent);
    log_failed_until_ = core::time_point();
}

void cell_protocol::log_failed(core::time_point now)
{
    log_failed_until_ = now + settings_.log_retry;
    // Announce the failure without waiting for the heartbeat interval, so that
    // the next candidate takes over.
    next_heartbeat_ = now;
}

bool cell_protocol::sync_answered(peer::sync_response const& response)
{
    auto const sent = replicator_.complete_request(response.nonce);
    if (!sent)
        return false;
    apply_freshness_claim(response.state_offset,
                          response.chain_digest,
                          *sent - response.freshness_age);
    return true;
}

void cell_protocol::cancel_sync(std::uint64_t nonce)
{
    replicator_.fail_request(nonce);
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
    // Later heartbeats repeat the announcement in case it is lost.
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
    // A member's own heartbeats take precedence over digests.
    for (auto const& [id, item] : digests_.members())
        if (id != identity_.id &&
            (table_.find(id) == nullptr || !table_.find(id)->heard()))
            result.push_back(item.instance);
    return result;
}

void cell_protocol::detect_pause(core::time_point now)
{
    auto const gap = now - last_step_;
    last_step_ = std::max(last_step_, now);
    if (gap < settings_.pause_threshold)
        return;
    // Messages that members sent during the pause may be unread or lost, so the
    // pause does not count towards their suspicion. It does count towards the
    // age of the own state.
    ++pauses_;
    buffered_messages_until_ = now + buffered_message_time;
    table_.exclude_pause(gap, now);
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
    for (auto const& instance : list_)
        if (instance.region == identity_.region)
            members.insert(instance.id);
    for (auto const& [id, item] : table_.members())
        if (item.heard() && item.region == identity_.region)
            members.insert(id);
    // The map is expensive for a large region, so it is recomputed only on
    // changes.
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
    auto const& heartbeat = std::get<peer::heartbeat>(received.body);
    // A sender of another region or cell uses this instance as a seed. It gets
    // the digests of its region instead of being added to the table.
    if (heartbeat.region != identity_.region ||
        !is_in_own_cell(received.sender))
    {
        auto const scope = heartbeat.region == identity_.region
                               ? peer::peer_scope::same_region
                               : peer::peer_scope::other_region;
        for (auto& digest : digests_.digests_of(heartbeat.region, now))
        {
            fill_relay_fields(digest, 0, now);
            out.datagrams.push_back({{{source, scope}}, std::move(digest)});
        }
        return;
    }
    auto const* const known = table_.find(received.sender);
    if (now < buffered_messages_until_ &&
        (known == nullptr || known->incarnation != received.incarnation))
        return;
    auto const result = table_.record(
        received.sender, received.incarnation, heartbeat, source, now);
    if (result == member_table::message_result::ignored)
    {
        // Notify a process with an outdated incarnation of the higher one. The
        // nonce 0 belongs to no outstanding probe, so the ack is ignored.
        if (known != nullptr && known->incarnation > received.incarnation)
            out.datagrams.push_back(
                {{{source, peer::peer_scope::same_region}},
                 peer::probe{0, known->id, known->incarnation}});
        return;
    }
    if (result == member_table::message_result::first)
        for (auto& digest : own_digests(now))
            out.datagrams.push_back(
                {{{source, peer::peer_scope::same_region}}, std::move(digest)});
    receive_suspicions(heartbeat, now, out);
}

void cell_protocol::receive_suspicions(peer::heartbeat const& heartbeat,
                                       core::time_point now,
                                       outbox& out)
{
    for (auto const& item : heartbeat.suspicions)
    {
        if (item.member != identity_.id)
        {
            table_.record_suspicion(
                item.member, item.incarnation, item.refutation);
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

void cell_protocol::receive_probe(peer::probe const& request,
                                  settings::endpoint const& source,
                                  core::time_point now,
                                  outbox& out)
{
    if (request.target != identity_.id)
        return;
    if (request.target_incarnation > identity_.incarnation)
        higher_incarnation_ = std::max(higher_incarnation_.value_or(0),
                                       request.target_incarnation);
    out.datagrams.push_back({{{source, peer::peer_scope::same_region}},
                             peer::ack{request.nonce,
                                       identity_.id,
                                       identity_.incarnation,
                                       refutation_,
                                       leaving_,
                                       state_.state_offset,
                                       state_.chain_digest,
                                       freshness_.age(now)}});
}

void cell_protocol::receive_indirect_probe(peer::indirect_probe const& request,
                                           settings::endpoint const& source,
                                           core::time_point now,
                                           outbox& out)
{
    // Only known addresses are probed, so that nobody can direct datagrams to
    // arbitrary hosts.
    auto const* const target = table_.find(request.target);
    if (target != nullptr)
        probes_.probe_for(request,
                          {source, peer::peer_scope::same_region},
                          {target->peer_address, peer::peer_scope::same_region},
                          now,
                          out);
}

void cell_protocol::receive_ack(peer::ack const& ack,
                                core::instance_id const& sender,
                                core::time_point now,
                                outbox& out)
{
    auto const confirmed = probes_.receive(ack, sender, now, out);
    if (!confirmed)
        return;
    table_.record(ack, confirmed->direct, confirmed->sent_at, now);
    apply_freshness_claim(ack.state_offset,
                          ack.chain_digest,
                          confirmed->sent_at - ack.freshness_age);
}

void cell_protocol::receive_digest(peer::frame const& received,
                                   core::time_point now,
                                   outbox& out)
{
    auto digest = std::get<peer::cell_digest>(received.body);
    // The travel time and the time in the receive buffer count as age as well.
    auto late = table_.lateness(
        received.sender, received.incarnation, digest.uptime, now);
    if (!late)
        late = outside_lateness_.lateness(
            received.sender, received.incarnation, digest.uptime, now);
    if (!late && now < buffered_messages_until_)
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
        // A new instance receives the digests of its own cell and adds the
        // members in them as contacts.
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
        forward_digest(std::move(digest), now, out);
}

void cell_protocol::forward_digest(peer::cell_digest digest,
                                   core::time_point now,
                                   outbox& out)
{
    digest.uptime = uptime(now);
    // Digests from another region also go to the other cells of this region.
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

void cell_protocol::fill_relay_fields(peer::cell_digest& digest,
                                      std::uint8_t hops,
                                      core::time_point now) const
{
    digest.uptime = uptime(now);
    digest.hops = hops;
    digest.relay = identity_.id;
    digest.relay_address = settings::to_string(identity_.peer_address);
}

void cell_protocol::apply_freshness_claim(core::log_offset offset,
                                          std::uint64_t digest,
                                          core::time_point as_of)
{
    if (!freshness_.apply_claim(offset, digest, as_of))
        ++diverging_states_;
}

void cell_protocol::send_heartbeat(core::time_point now, outbox& out)
{
    next_heartbeat_ = now + settings_.heartbeat_interval;
    auto targets = cell_destinations();
    if (targets.empty())
        return;
    peer::heartbeat heartbeat;
    heartbeat.state =
        leaving_ ? peer::announced_state::leaving : peer::announced_state::live;
    heartbeat.ready = state_.ready;
    heartbeat.reader = reader_;
    heartbeat.log_readable = now >= log_failed_until_;
    heartbeat.relay = relay_;
    heartbeat.refutation = refutation_;
    heartbeat.uptime = uptime(now);
    heartbeat.state_offset = state_.state_offset;
    heartbeat.chain_digest = state_.chain_digest;
    heartbeat.document_version = state_.document_version;
    heartbeat.freshness_age = freshness_.age(now);
    heartbeat.failure_domain = identity_.failure_domain;
    heartbeat.region = identity_.region;
    heartbeat.callers_address = identity_.callers_address;
    heartbeat.suspicions = suspicions();
    out.datagrams.push_back({std::move(targets), std::move(heartbeat)});
}

void cell_protocol::probe_for_freshness(core::time_point now, outbox& out)
{
    next_freshness_probe_ = now + settings_.freshness_interval;
    if (reader_ && freshness_.age(now) < settings_.log_timeout)
        return;
    // Probe a reader of the log, or else the member with the freshest state.
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
        fill_relay_fields(digest, 1, now);

    // Other cells of the region get the digests of the own cell.
    for (std::size_t cell = 0; cell < cells_.cells(); ++cell)
        if (cell != own_cell())
        {
            auto const targets =
                cell_contacts(static_cast<cell_map::cell_index>(cell), now);
            if (!targets.empty())
                for (auto const& digest : own)
                    out.datagrams.push_back({targets, digest});
        }
    // Only one cell, which all instances choose by the same hash, sends the
    // digests of the whole region to other regions.
    if (cells_.cells() > 1 &&
        own_cell() != cells_.cell_of(core::service_name("relay")))
        return;

    auto all = digests_.digests_of(identity_.region, now);
    all.insert(all.end(), own.begin(), own.end());
    for (auto& digest : all)
        fill_relay_fields(digest, 2, now);
    std::set<core::region> regions;
    for (auto const& instance : list_)
        if (instance.region != identity_.region)
            regions.insert(instance.region);
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
    // The sender of the last digest is the other region's relay.
    region_digest_table::cell_summary const* last = nullptr;
    for (auto const& [key, summary] : digests_.cells())
        if (key.first == region &&
            (last == nullptr || summary.received > last->received))
            last = &summary;
    std::vector<peer::destination> targets;
    if (last != nullptr && now - last->received < digest_timeout)
        targets.push_back(
            {last->relay_address, peer::peer_scope::other_region});
    else
        targets = listed_contacts(peer::peer_scope::other_region,
                                  [&region](listed_instance const& instance)
                                  {
                                      return instance.region == region;
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
        now - found->second.received < digest_timeout)
        return {{found->second.relay_address, peer::peer_scope::same_region}};
    return listed_contacts(peer::peer_scope::same_region,
                           [this, cell](listed_instance const& instance)
                           {
                               return cells_.cell_of(instance.id) == cell;
                           });
}

std::chrono::milliseconds cell_protocol::uptime(core::time_point now) const
{
    return std::chrono::floor<std::chrono::milliseconds>(now - started_);
}

void cell_protocol::request_from_outside(core::time_point now, outbox& out)
{
    region_digest_table::cell_key const* best_key = nullptr;
    region_digest_table::cell_summary const* best = nullptr;
    for (auto const& [key, summary] : digests_.cells())
        if (summary.highest_offset > state_.state_offset &&
            now - summary.received < digest_timeout &&
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
    // Wait for the own readers first, so that a record crosses the link between
    // regions only once.
    if (now - *behind_outside_since_ < outside_sync_delay)
        return;
    auto const scope = best_key->first == identity_.region
                           ? peer::peer_scope::same_region
                           : peer::peer_scope::other_region;
    replicator_.request_from(
        best->relay, {best->relay_address, scope}, state_, now, out);
}

bool cell_protocol::is_in_own_cell(core::instance_id const& id) const
{
    // An id that is not in the map yet counts as a member of this cell.
    return cells_.cell_of(id).value_or(own_cell()) == own_cell();
}

std::vector<peer::destination> cell_protocol::cell_destinations() const
{
    std::vector<peer::destination> result;
    bool heard_any = false;
    for (auto const& [id, item] : table_.members())
    {
        heard_any = heard_any || item.heard();
        if (is_in_own_cell(id))
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
        if (item.heard() && is_in_own_cell(id) &&
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
        fill_relay_fields(digest, 0, now);
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
