#ifndef KUMQUATLOOM_DIRECTORY_ENTRIES_JSON_HPP
#define KUMQUATLOOM_DIRECTORY_ENTRIES_JSON_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/directory/entry_list.hpp>

#include <string>
#include <vector>

namespace kumquatloom::directory
{

/// An answer as JSON text (section 3.1 of the design).
std::string entries_json(entry_list const& answer,
                         core::log_offset document_version,
                         std::vector<std::string> const& tickets);

} // namespace kumquatloom::directory

#endif
