#include <kumquatloom/document/active_document.hpp>

#include <boost/assert.hpp>

#include <utility>

namespace kumquatloom::document
{

void active_document::reduced(reduced_document const& version)
{
    if (!version.created)
        return;
    BOOST_ASSERT(!current_ || current_->version <= version.version);
    if (waiting_.size() >= max_waiting)
        waiting_.back() = version;
    else
        waiting_.push_back(version);
}

bool active_document::activate(core::log_offset offset)
{
    bool changed = false;
    while (!waiting_.empty() && waiting_.front().version <= offset)
    {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        if (current_ && current_->version >= next.version)
            continue;
        current_ = std::move(next);
        changed = true;
    }
    return changed;
}

} // namespace kumquatloom::document
