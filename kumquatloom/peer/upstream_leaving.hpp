#ifndef KUMQUATLOOM_PEER_UPSTREAM_LEAVING_HPP
#define KUMQUATLOOM_PEER_UPSTREAM_LEAVING_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

namespace kumquatloom::peer
{

/// Says that an upstream announced that it is draining.
struct upstream_leaving
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::upstream_leaving;

    /// The service of the upstream.
    core::service_name service;
    /// The upstream.
    core::upstream_id upstream;

    /// cereal's entry point.
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
