#include <kumquatloom/request/outcome.hpp>

namespace kumquatloom::request
{

std::string_view to_string(outcome value)
{
    switch (value)
    {
    case outcome::completed:
        return "completed";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        return "unknown";
    case outcome::count:
        break;
    }
    return {};
}

} // namespace kumquatloom::request
