#ifndef KUMQUATLOOM_CORE_MUTATION_HPP
#define KUMQUATLOOM_CORE_MUTATION_HPP

#include <string_view>

namespace kumquatloom::core
{

/// Faults that a build for mutation testing can inject, one at a time, to show
/// that a test detects them. scripts/mutations lists and runs them.
enum class mutation
{
    skip_request_id_check,
    skip_digest_check,
    retry_unknown_outcome,
    report_written_as_not_run,
    run_ticket_twice,
    reuse_ejection_slot_early,
    honour_ejection_without_freshness,
    pick_leaving_upstream,
    accept_older_version,
    apply_edit_twice,
    accept_stale_base,
    exit_while_draining,
    hand_out_leaving_instance,
    accept_replayed_frame,
    ignore_giver_lease,
    ignore_silent_source,
    ignore_reported_counts,
    start_with_full_quota,
    spend_last_tokens_everywhere,
    accept_removed_key,
    keep_ambiguous_key,
    forward_key,
    keep_token_of_unrun_request,
    ignore_rise_of_load,
    /// Number of mutations.
    count
};

/// Name of a mutation, as scripts/mutations sets it in KUMQUATLOOM_MUTATION.
std::string_view to_string(mutation value);

#ifdef KUMQUATLOOM_MUTATIONS
/// Whether the environment variable KUMQUATLOOM_MUTATION names the mutation.
bool is_mutated(mutation value);
#else
/// Always false: only the preset "mutations" compiles the mutations in.
constexpr bool is_mutated(mutation)
{
    return false;
}
#endif

} // namespace kumquatloom::core

#endif
