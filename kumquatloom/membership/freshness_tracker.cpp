#include <kumquatloom/membership/freshness_tracker.hpp>

#include <algorithm>

namespace kumquatloom::membership
{

void freshness_tracker::record_log_read(core::time_point sent)
{
    advance_as_of(sent);
}

bool freshness_tracker::apply_claim(core::log_offset offset,
                                    std::uint64_t digest,
                                    core::time_point as_of)
{
    if (offset == offset_ && digest != digest_)
        return false;
    if (offset <= offset_)
        advance_as_of(as_of);
    else if (!pending_ || as_of > pending_->as_of)
        pending_ = pending_claim{offset, digest, as_of};
    return true;
}

void freshness_tracker::advance(core::log_offset offset, std::uint64_t digest)
{
    offset_ = offset;
    digest_ = digest;
    if (!pending_ || pending_->offset > offset_)
        return;
    // Only the digest at the own offset is known, so a claim for a lower offset
    // cannot be compared.
    bool const same_history =
        pending_->offset < offset_ || pending_->digest == digest_;
    if (same_history)
        advance_as_of(pending_->as_of);
    pending_.reset();
}

std::chrono::milliseconds freshness_tracker::age(core::time_point now) const
{
    if (!as_of_)
        return never;
    // Round up so that the state never looks fresher than it is.
    auto const age =
        std::chrono::ceil<std::chrono::milliseconds>(now - *as_of_);
    return std::clamp(age, std::chrono::milliseconds(0), never);
}

void freshness_tracker::advance_as_of(core::time_point as_of)
{
    as_of_ = std::max(as_of_.value_or(as_of), as_of);
}

} // namespace kumquatloom::membership
