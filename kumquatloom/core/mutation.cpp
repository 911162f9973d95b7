#include <kumquatloom/core/mutation.hpp>

#include <array>
#include <cstddef>
#include <cstdlib>

namespace kumquatloom::core
{

namespace
{

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(mutation::count)>
    names = {
        "skip_request_id_check",
        "skip_digest_check",
        "retry_unknown_outcome",
        "report_written_as_not_run",
        "run_ticket_twice",
        "reuse_ejection_slot_early",
        "honour_ejection_without_freshness",
        "pick_leaving_upstream",
        "accept_older_version",
        "apply_edit_twice",
        "accept_stale_base",
        "exit_while_draining",
        "hand_out_leaving_instance",
        "accept_replayed_frame",
        "ignore_giver_lease",
        "ignore_silent_source",
        "ignore_reported_counts",
        "start_with_full_quota",
        "spend_last_tokens_everywhere",
        "accept_removed_key",
        "keep_ambiguous_key",
        "forward_key",
        "keep_token_of_unrun_request",
        "ignore_rise_of_load",
};

} // namespace

std::string_view to_string(mutation value)
{
    return names[static_cast<std::size_t>(value)];
}

#ifdef KUMQUATLOOM_MUTATIONS
bool is_mutated(mutation value)
{
    static std::string_view const selected = []
    {
        char const* const name = std::getenv("KUMQUATLOOM_MUTATION");
        return std::string_view(name == nullptr ? "" : name);
    }();
    return selected == to_string(value);
}
#endif

} // namespace kumquatloom::core
