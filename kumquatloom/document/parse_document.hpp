#ifndef KUMQUATLOOM_DOCUMENT_PARSE_DOCUMENT_HPP
#define KUMQUATLOOM_DOCUMENT_PARSE_DOCUMENT_HPP

#include <kumquatloom/core/fault.hpp>
#include <kumquatloom/document/document.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <string_view>

namespace kumquatloom::document
{

/// Parses and validates a whole document and adds all faults. The result is
/// valid only if no fault was added.
boost::intrusive_ptr<document> parse_document(std::string_view text,
                                              core::fault_list& faults);

} // namespace kumquatloom::document

#endif
