#ifndef KUMQUATLOOM_DOCUMENT_ACTIVE_DOCUMENT_HPP
#define KUMQUATLOOM_DOCUMENT_ACTIVE_DOCUMENT_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/reduced_document.hpp>

#include <cstddef>
#include <deque>
#include <optional>

namespace kumquatloom::document
{

/// Holds the versions of the document between reduction and activation, so
/// that an instance acts on the newest active version. Versions share their
/// sections.
class active_document
{
public:
    /// Adds a version that the reducer produced, higher than the previous ones.
    void add_version(reduced_document const& version);

    /// Activates all records up to the offset. Returns true if the document in
    /// force changed.
    bool activate(core::log_offset offset);

    /// The document in force, if there is one.
    std::optional<reduced_document> const& current() const
    {
        return current_;
    }

private:
    /// Maximum number of pending versions. Beyond it, the newest pending
    /// version is replaced, which skips versions but never activates one early.
    static constexpr std::size_t max_pending = 64;

    /// Versions above the one in force, in ascending order.
    std::deque<reduced_document> pending_;
    /// The document in force.
    std::optional<reduced_document> current_;
};

} // namespace kumquatloom::document

#endif
