#ifndef KUMQUATLOOM_HOSTING_STORE_POSITION_HPP
#define KUMQUATLOOM_HOSTING_STORE_POSITION_HPP

#include <kumquatloom/core/ids.hpp>

namespace kumquatloom::hosting
{

/// Position in the store up to which it was read.
struct store_position
{
    /// Offset of the next configuration record.
    core::log_offset configuration = 0;
    /// Offset of the next upstream record.
    core::log_offset upstreams = 0;

    friend bool operator==(store_position const&,
                           store_position const&) = default;

    /// Serializes the position with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(configuration, upstreams);
    }
};

} // namespace kumquatloom::hosting

#endif
