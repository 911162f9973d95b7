#ifndef KUMQUATLOOM_CORE_RESULT_HPP
#define KUMQUATLOOM_CORE_RESULT_HPP

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace kumquatloom::core
{

/// A value or the error of the layer that could not produce it. Reading the
/// absent one throws.
template <typename Value, typename Error>
using result = boost::outcome_v2::checked<Value, Error>;

/// Makes a failed result where the value's and the error's types could be
/// confused.
using boost::outcome_v2::failure;
/// Makes a successful result.
using boost::outcome_v2::success;

} // namespace kumquatloom::core

#endif
