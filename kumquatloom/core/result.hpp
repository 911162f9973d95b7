#ifndef KUMQUATLOOM_CORE_RESULT_HPP
#define KUMQUATLOOM_CORE_RESULT_HPP

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace kumquatloom::core
{

/// Either a value or the error that prevented it. Accessing the absent one
/// throws.
template <typename Value, typename Error>
using result = boost::outcome_v2::checked<Value, Error>;

/// Makes a failed result where the types of the value and the error are
/// ambiguous.
using boost::outcome_v2::failure;
/// Makes a successful result.
using boost::outcome_v2::success;

} // namespace kumquatloom::core

#endif
