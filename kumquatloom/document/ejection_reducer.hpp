#ifndef KUMQUATLOOM_DOCUMENT_EJECTION_REDUCER_HPP
#define KUMQUATLOOM_DOCUMENT_EJECTION_REDUCER_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/eject_record.hpp>
#include <kumquatloom/document/readmit_record.hpp>

#include <concepts>
#include <functional>
#include <string>
#include <string_view>

namespace kumquatloom::document
{

/// An ejection ledger that the reducer applies records to. `budget` is the
/// ejection budget of the record's service in the document at that offset, or
/// 0 if the document does not have the service.
template <typename Ledger>
concept ejection_ledger = requires(Ledger& ledger,
                                   Ledger const& constant,
                                   eject_record const& eject,
                                   readmit_record const& readmit,
                                   core::log_offset offset,
                                   unsigned budget,
                                   std::string_view bytes)
{
    // Returns true if the record changed the ledger.
    {
        ledger.apply(eject, offset, budget)
        } -> std::convertible_to<bool>;
    {
        ledger.apply(readmit, offset, budget)
        } -> std::convertible_to<bool>;
    // Serialises the whole ledger; equal ledgers give equal bytes.
    {
        constant.serialise()
        } -> std::convertible_to<std::string>;
    // Replaces the ledger. Returns false if the bytes are malformed.
    {
        ledger.restore(bytes)
        } -> std::convertible_to<bool>;
};

/// Type-erased access to the ejection ledger, which belongs to another package.
/// Each record is passed with its offset and the ejection budget of its
/// service.
struct ejection_reducer
{
    /// Applies an ejection. Returns true if the ledger changed.
    std::function<bool(eject_record const&, core::log_offset, unsigned)> eject;
    /// Applies a readmission. Returns true if the ledger changed.
    std::function<bool(readmit_record const&, core::log_offset, unsigned)>
        readmit;
    /// Serialises the ledger. Equal ledgers give equal bytes.
    std::function<std::string()> serialise;
    /// Replaces the ledger. Returns false if the bytes are malformed.
    std::function<bool(std::string_view)> restore;
};

/// Wraps a ledger, which must outlive the result.
template <ejection_ledger Ledger>
ejection_reducer make_ejection_reducer(Ledger& ledger)
{
    return {[&ledger](eject_record const& record,
                      core::log_offset offset,
                      unsigned budget)
            {
                return static_cast<bool>(ledger.apply(record, offset, budget));
            },
            [&ledger](readmit_record const& record,
                      core::log_offset offset,
                      unsigned budget)
            {
                return static_cast<bool>(ledger.apply(record, offset, budget));
            },
            [&ledger]
            {
                return std::string(ledger.serialise());
            },
            [&ledger](std::string_view bytes)
            {
                return static_cast<bool>(ledger.restore(bytes));
            }};
}

/// Returns a reducer that discards ejections and serialises to an empty string,
/// for tools that only read the document.
ejection_reducer make_null_ejection_reducer();

} // namespace kumquatloom::document

#endif
