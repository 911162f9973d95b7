#ifndef KUMQUATLOOM_DOCUMENT_SECTION_CONTENT_HPP
#define KUMQUATLOOM_DOCUMENT_SECTION_CONTENT_HPP

#include <kumquatloom/document/document.hpp>

#include <map>
#include <string>
#include <vector>

namespace kumquatloom::core
{
class json_reader;
} // namespace kumquatloom::core

namespace kumquatloom::document
{

/// One section of the document in plain form, as parsed and serialised.
struct section_content
{
    /// The owner whose key signs edits of the section.
    std::string owner;
    /// Services by name.
    std::map<core::service_name, service_settings> services;
    /// Organisations by name.
    std::map<core::organisation_name, organisation_settings> organisations;
    /// Routes, in document order.
    std::vector<route_settings> routes;
};

/// Reads a section; adds faults to the reader's list.
section_content read_section(core::json_reader& reader);

/// The section as JSON text. Equal content gives equal text.
std::string to_text(section_content const& content);

} // namespace kumquatloom::document

#endif
