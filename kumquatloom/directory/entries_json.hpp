#ifndef KUMQUATLOOM_DIRECTORY_ENTRIES_JSON_HPP
#define KUMQUATLOOM_DIRECTORY_ENTRIES_JSON_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/directory/entry_list.hpp>

#include <string>
#include <vector>

namespace kumquatloom::directory
{

/// The JSON text for a list of entry instances, with new tickets for the caller
/// (section 3.1 of the design).
std::string entries_json(entry_list const& list,
                         core::log_offset document_version,
                         std::vector<std::string> const& tickets);

} // namespace kumquatloom::directory

#endif
