#ifndef KUMQUATLOOM_PEER_UPSTREAM_LEAVING_HPP
#define KUMQUATLOOM_PEER_UPSTREAM_LEAVING_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

namespace kumquatloom::peer
{

/// Forwards the announcement of an upstream that it is draining.
struct upstream_leaving
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::upstream_leaving;

    /// Service of the upstream.
    core::service_name service;
    /// Id of the upstream.
    core::upstream_id upstream;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(bounded<max_name_bytes>(service),
                bounded<max_name_bytes>(upstream));
    }

    friend bool operator==(upstream_leaving const&,
                           upstream_leaving const&) = default;
};

} // namespace kumquatloom::peer

#endif
