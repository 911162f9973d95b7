#include <kumquatloom/document/active_document.hpp>

#include <boost/assert.hpp>

#include <utility>

namespace kumquatloom::document
{

void active_document::add_version(reduced_document const& version)
{
    if (!version.created)
        return;
    BOOST_ASSERT(!current_ || current_->version <= version.version);
    if (pending_.size() >= max_pending)
        pending_.back() = version;
    else
        pending_.push_back(version);
}

bool active_document::activate(core::log_offset offset)
{
    bool changed = false;
    while (!pending_.empty() && pending_.front().version <= offset)
    {
        auto next = std::move(pending_.front());
        pending_.pop_front();
        if (current_ && current_->version >= next.version)
            continue;
        current_ = std::move(next);
        changed = true;
    }
    return changed;
}

} // namespace kumquatloom::document
