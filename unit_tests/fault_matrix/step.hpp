#ifndef KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_STEP_HPP
#define KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_STEP_HPP

#include <cstddef>
#include <string_view>

namespace kumquatloom::fault_matrix
{

/// The steps of all operations of the system. A new step must be added here and
/// in to_string().
enum class step
{
    // Serving a request.
    entry_choice,
    admission,
    pick,
    connect,
    write,
    wait,
    read_head,
    read_body,
    deliver,
    resend,
    // Editing the document.
    read_base,
    append,
    reply,
    reduce,
    spread,
    snapshot,
    // Changes of upstreams and instances.
    eject,
    readmit,
    join,
    leave,
    replace,
    count
};

/// Name of a step in the report.
std::string_view to_string(step value);

} // namespace kumquatloom::fault_matrix

#endif
