#ifndef KUMQUATLOOM_HOSTING_STORE_POSITION_HPP
#define KUMQUATLOOM_HOSTING_STORE_POSITION_HPP

#include <kumquatloom/core/ids.hpp>

namespace kumquatloom::hosting
{

/// Up to where an environment's store was read.
struct store_position
{
    /// The next record about the configuration.
    core::log_offset documents = 0;
    /// The next record about upstreams.
    core::log_offset upstreams = 0;

    friend bool operator==(store_position const&,
                           store_position const&) = default;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(documents, upstreams);
    }
};

} // namespace kumquatloom::hosting

#endif
