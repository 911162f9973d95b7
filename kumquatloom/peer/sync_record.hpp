#ifndef KUMQUATLOOM_PEER_SYNC_RECORD_HPP
#define KUMQUATLOOM_PEER_SYNC_RECORD_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <string>

namespace kumquatloom::peer
{

/// One record of the log.
struct sync_record
{
    /// Its position.
    core::log_offset offset = 0;
    /// Its text.
    std::string data;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(offset, bounded<max_record_bytes>(data));
    }

    friend bool operator==(sync_record const&, sync_record const&) = default;
};

} // namespace kumquatloom::peer

#endif
