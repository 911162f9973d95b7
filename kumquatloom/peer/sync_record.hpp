#ifndef KUMQUATLOOM_PEER_SYNC_RECORD_HPP
#define KUMQUATLOOM_PEER_SYNC_RECORD_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <string>

namespace kumquatloom::peer
{

/// A log record in a sync response.
struct sync_record
{
    /// Offset of the record in the log.
    core::log_offset offset = 0;
    /// Text of the record.
    std::string data;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(offset, bounded<max_record_bytes>(data));
    }

    friend bool operator==(sync_record const&, sync_record const&) = default;
};

} // namespace kumquatloom::peer

#endif
