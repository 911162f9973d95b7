#include <kumquatloom/document/document_index.hpp>
#include <kumquatloom/document/parse_document.hpp>
#include <kumquatloom/document/reduced_document.hpp>

namespace kumquatloom::document
{

boost::intrusive_ptr<document> parse_document(std::string_view text,
                                              core::fault_list& faults)
{
    auto const reduced = parse_reduced_document(text, faults);
    if (reduced.sections.size() <= max_sections)
        check_document(reduced, document_index(reduced), faults);
    return expand(reduced);
}

} // namespace kumquatloom::document
