#ifndef KUMQUATLOOM_PEER_DIGEST_DOMAIN_HPP
#define KUMQUATLOOM_PEER_DIGEST_DOMAIN_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

namespace kumquatloom::peer
{

/// A failure domain that members of a digest refer to by its index, which
/// saves the name in every member.
struct digest_domain
{
    /// Name of the failure domain.
    core::failure_domain name;

    /// cereal's entry point.
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
