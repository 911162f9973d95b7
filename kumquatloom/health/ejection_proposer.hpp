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

/// Inputs of a proposer at one tick.
struct proposal_context
{
    /// The service's slots in the ejection ledger.
    std::vector<ejection_slot> const& slots;
    /// The service's ejection budget in the document.
    unsigned budget = 0;
    /// Whether this instance is the service's designated writer.
    bool is_writer = false;
    /// Whether this instance has recently read the log to its end; otherwise it
    /// proposes nothing.
    bool is_fresh = false;
    /// Number of failure domains with live members of the cell.
    unsigned cell_domains = 0;
    /// Upstreams that are live and not leaving.
    std::vector<core::upstream_id> const& live;
    /// Random id for the next record.
    std::string const& record_id;
};

/// Decides which ejection or readmission record the designated writer of a
/// service appends to the log next, one at a time.
class ejection_proposer
{
public:
    /// A record to append.
    using proposal = std::variant<eject_record, readmit_record>;

    explicit ejection_proposer(core::service_name service);

    /// Returns the record to append now, if any. Must be called at every tick,
    /// also while this instance is not the writer, so that it knows when slots
    /// were released.
    std::optional<proposal> propose(health_monitor const& monitor,
                                    proposal_context const& context,
                                    core::time_point now);

private:
    /// When this instance saw the changes of one slot.
    struct slot_history
    {
        core::log_offset release = 0;
        core::log_offset ejection = 0;
        /// When this instance first saw the release and the ejection.
        core::time_point released_at;
        core::time_point ejected_at;
        /// Since when the ejected upstream has been missing from the list, if
        /// it is.
        std::optional<core::time_point> missing_since;
    };

    /// Records when releases and ejections appeared in the ledger.
    void update_history(proposal_context const& context, core::time_point now);
    /// Returns a readmission that is due, if any.
    std::optional<proposal> propose_readmission(health_monitor const& monitor,
                                                proposal_context const& context,
                                                core::time_point now) const;
    /// Returns an ejection that is due, if any.
    std::optional<proposal> propose_ejection(health_monitor const& monitor,
                                             proposal_context const& context,
                                             core::time_point now) const;
    /// Returns the lowest free slot whose last release is old enough, if any.
    std::optional<std::size_t> claimable_slot(proposal_context const& context,
                                              core::time_point now) const;
    /// Minimum duration of an upstream's ejection before probes may readmit it.
    core::duration ejection_time(core::upstream_id const& upstream) const;

    /// The service that records are proposed for.
    core::service_name service_;
    /// History of each slot, by slot number.
    std::vector<slot_history> history_;
    /// Number of ejections seen of each upstream; repeated ones last longer.
    std::unordered_map<core::upstream_id, unsigned> ejections_;
    /// When the last record was proposed, and the slots in the ledger at that
    /// time.
    std::optional<core::time_point> proposed_at_;
    std::vector<ejection_slot> slots_at_proposal_;
};

} // namespace kumquatloom::health

#endif
