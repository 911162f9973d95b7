#include <kumquatloom/document/ejection_reducer.hpp>

namespace kumquatloom::document
{

ejection_reducer make_null_ejection_reducer()
{
    return {[](eject_record const&, core::log_offset, unsigned)
            {
                return false;
            },
            [](readmit_record const&, core::log_offset, unsigned)
            {
                return false;
            },
            []
            {
                return std::string();
            },
            [](std::string_view)
            {
                return true;
            }};
}

} // namespace kumquatloom::document
