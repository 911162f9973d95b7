#ifndef KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_STEP_HPP
#define KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_STEP_HPP

#include <cstddef>
#include <string_view>

namespace kumquatloom::fault_matrix
{

/// The steps of everything that the system does. A new step is added here,
/// and the matrix fails until each of its cells is planned.
enum class step
{
    // A request.
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
    // An edit of the document.
    read_base,
    append,
    reply,
    reduce,
    spread,
    snapshot,
    // Upstreams and instances.
    eject,
    readmit,
    join,
    leave,
    replace,
    /// Number of steps.
    count
};

/// Name of a step, for the report.
std::string_view to_string(step which);

} // namespace kumquatloom::fault_matrix

#endif
