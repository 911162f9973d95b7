#ifndef KUMQUATLOOM_DOCUMENT_ACTIVE_DOCUMENT_HPP
#define KUMQUATLOOM_DOCUMENT_ACTIVE_DOCUMENT_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/reduced_document.hpp>

#include <cstddef>
#include <deque>
#include <optional>

namespace kumquatloom::document
{

/// Keeps the versions of the document between reduction and activation, so
/// that an instance acts on the newest version that is active. Versions share
/// their sections.
class active_document
{
public:
    /// The reducer holds a new version, higher than those before.
    void reduced(reduced_document const& version);

    /// All records up to the offset are active. True if the document in force
    /// changed.
    bool activate(core::log_offset offset);

    /// The document in force, if there is one.
    std::optional<reduced_document> const& current() const
    {
        return current_;
    }

private:
    /// Versions that wait. When there are more, the newest one that waits is
    /// replaced, which skips versions but never activates one early.
    static constexpr std::size_t max_waiting = 64;

    /// Versions above the one in force, in ascending order.
    std::deque<reduced_document> waiting_;
    /// The document in force.
    std::optional<reduced_document> current_;
};

} // namespace kumquatloom::document

#endif
