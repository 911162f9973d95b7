#ifndef KUMQUATLOOM_ENTRY_EVIDENCE_PAYLOAD_HPP
#define KUMQUATLOOM_ENTRY_EVIDENCE_PAYLOAD_HPP

#include <kumquatloom/health/evidence_message.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

namespace kumquatloom::entry
{

/// Wire format of health evidence. Bounds the size of each container.
struct evidence_payload
{
    health::evidence_message message;

    /// Serialization function for cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        using peer::bounded;
        archive(bounded<peer::max_name_bytes>(message.service),
                bounded<peer::max_name_bytes>(message.observer),
                bounded<peer::max_name_bytes>(message.domain),
                message.sequence,
                bounded<health::max_evidence_entries>(message.entries));
    }
};

} // namespace kumquatloom::entry

#endif
