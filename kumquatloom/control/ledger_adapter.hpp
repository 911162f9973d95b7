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

/// Adapts the ejection ledger to the log reducer: converts log records to
/// ledger records, and serialises the ledger for snapshots.
class ledger_adapter
{
public:
    /// Applies an ejection. Returns true if the ledger changed.
    bool apply(document::eject_record const& record,
               core::log_offset offset,
               unsigned budget);

    /// Applies a readmission. Returns true if the ledger changed.
    bool apply(document::readmit_record const& record,
               core::log_offset offset,
               unsigned budget);

    /// Serialises the whole ledger. Equal ledgers give equal bytes.
    std::string serialise() const;

    /// Replaces the ledger by a serialised one. Returns false and changes
    /// nothing if the bytes are malformed.
    bool restore(std::string_view bytes);

    /// The adapted ledger.
    health::ejection_ledger const& ledger() const
    {
        return ledger_;
    }

private:
    health::ejection_ledger ledger_;
};

/// Converts an ejection to its log record.
document::eject_record to_log_record(health::eject_record const& record);

/// Converts a readmission to its log record.
document::readmit_record to_log_record(health::readmit_record const& record);

} // namespace kumquatloom::control

#endif
