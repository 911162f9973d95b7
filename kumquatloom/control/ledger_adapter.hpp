#ifndef KUMQUATLOOM_CONTROL_LEDGER_ADAPTER_HPP
#define KUMQUATLOOM_CONTROL_LEDGER_ADAPTER_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/ejection_ledger.hpp>

#include <string>
#include <string_view>

namespace kumquatloom::document
{
struct eject_record;
struct readmit_record;
} // namespace kumquatloom::document

namespace kumquatloom::control
{

/// Lets the reducer of the log feed the ejection ledger: turns the log's
/// records into the ledger's, and the ledger into bytes for snapshots.
class ledger_adapter
{
public:
    /// Applies an ejection; true if the ledger changed.
    bool apply(document::eject_record const& record,
               core::log_offset offset,
               unsigned budget);

    /// Applies a readmission; true if the ledger changed.
    bool apply(document::readmit_record const& record,
               core::log_offset offset,
               unsigned budget);

    /// Deterministic bytes of the whole ledger.
    std::string serialise() const;

    /// Replaces the ledger; false, and nothing is changed, if the bytes are
    /// malformed.
    bool restore(std::string_view bytes);

    /// The ledger.
    health::ejection_ledger const& ledger() const
    {
        return ledger_;
    }

private:
    /// The ledger.
    health::ejection_ledger ledger_;
};

/// The log's form of an ejection.
document::eject_record to_log_record(health::eject_record const& record);

/// The log's form of a readmission.
document::readmit_record to_log_record(health::readmit_record const& record);

} // namespace kumquatloom::control

#endif
