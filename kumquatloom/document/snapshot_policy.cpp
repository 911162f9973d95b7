#include <kumquatloom/document/snapshot_policy.hpp>

namespace kumquatloom::document
{

snapshot_policy::snapshot_policy(snapshot_policy_settings settings,
                                 core::time_point now)
    : settings_(settings)
    , newest_since_(now)
{
}

void snapshot_policy::update_newest(std::optional<core::log_offset> newest,
                                    core::time_point now)
{
    if (newest <= newest_)
        return;
    newest_ = newest;
    newest_since_ = now;
}

bool snapshot_policy::is_due(core::log_offset next, core::time_point now) const
{
    core::log_offset const covered = newest_ ? *newest_ + 1 : 0;
    if (next <= covered)
        return false;
    return next - covered >= settings_.records ||
           now - newest_since_ >= settings_.interval;
}

} // namespace kumquatloom::document
