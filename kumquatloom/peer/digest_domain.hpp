#ifndef KUMQUATLOOM_PEER_DIGEST_DOMAIN_HPP
#define KUMQUATLOOM_PEER_DIGEST_DOMAIN_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

namespace kumquatloom::peer
{

/// Entry of a digest's table of failure domains. Members refer to it by index,
/// so that the name is sent once.
struct digest_domain
{
    /// Name of the failure domain.
    core::failure_domain name;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(bounded<max_name_bytes>(name));
    }

    friend bool operator==(digest_domain const&,
                           digest_domain const&) = default;
};

} // namespace kumquatloom::peer

#endif
