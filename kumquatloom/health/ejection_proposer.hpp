#ifndef KUMQUATLOOM_HEALTH_EJECTION_PROPOSER_HPP
#define KUMQUATLOOM_HEALTH_EJECTION_PROPOSER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/eject_record.hpp>
#include <kumquatloom/health/ejection_slot.hpp>
#include <kumquatloom/health/readmit_record.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace kumquatloom::health
{

class health_monitor;

/// What a proposer knows of its surroundings at one tick.
struct proposal_context
{
    /// The ledger's slots of the service.
    std::vector<ejection_slot> const& slots;
    /// The service's ejection budget in the document.
    unsigned budget = 0;
    /// Whether this instance is the service's designated writer.
    bool is_writer = false;
    /// Whether it is fresh; a stale instance proposes nothing.
    bool is_fresh = false;
    /// Failure domains with live members of the cell.
    unsigned cell_domains = 0;
    /// Upstreams that are live and not leaving.
    std::vector<core::upstream_id> const& live;
    /// Random text for the id of a record.
    std::string const& record_id;
};

/// Decides which ejection or readmission the designated writer of a service
/// appends to the log next, one at a time.
class ejection_proposer
{
public:
    /// A record to append.
    using proposal = std::variant<eject_record, readmit_record>;

    explicit ejection_proposer(core::service_name service);

    /// The record to append now, if any. Called at every tick, also while this
    /// instance is not the writer, so that the times of releases are known.
    std::optional<proposal> propose(health_monitor const& monitor,
                                    proposal_context const& view,
                                    core::time_point now);

private:
    /// What the proposer remembers of a slot.
    struct slot_memory
    {
        core::log_offset release = 0;
        core::log_offset ejection = 0;
        /// When this instance first saw that release or ejection applied.
        core::time_point released_at;
        core::time_point ejected_at;
        /// Since when the ejected upstream is missing in the list, if it is.
        std::optional<core::time_point> missing_since;
    };

    /// Notes which releases and ejections are new.
    void observe(proposal_context const& view, core::time_point now);
    /// A readmission that is due.
    std::optional<proposal> propose_readmission(health_monitor const& monitor,
                                                proposal_context const& view,
                                                core::time_point now) const;
    /// An ejection that is due.
    std::optional<proposal> propose_ejection(health_monitor const& monitor,
                                             proposal_context const& view,
                                             core::time_point now) const;
    /// A slot that may be claimed.
    std::optional<std::size_t> claimable_slot(proposal_context const& view,
                                              core::time_point now) const;
    /// How long an upstream stays ejected before probes may readmit it.
    core::duration hold_time(core::upstream_id const& upstream) const;

    /// The service that records are proposed for.
    core::service_name service_;
    /// Memory of each slot.
    std::vector<slot_memory> memory_;
    /// Ejections seen of each upstream; repeated ones last longer.
    std::unordered_map<core::upstream_id, unsigned> ejections_;
    /// When the last record was proposed, and what the ledger held then.
    std::optional<core::time_point> proposed_at_;
    std::vector<ejection_slot> proposed_on_;
};

} // namespace kumquatloom::health

#endif
