#ifndef KUMQUATLOOM_MEMBERSHIP_DIGEST_BUILDER_HPP
#define KUMQUATLOOM_MEMBERSHIP_DIGEST_BUILDER_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/cell_digest.hpp>
#include <kumquatloom/peer/digest_member.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquatloom::membership
{

/// Collects the members of a cell into digests that each fit one datagram.
class digest_builder
{
public:
    /// Starts the digests of a cell.
    digest_builder(core::region region,
                   std::uint16_t cell,
                   core::log_offset lowest_offset,
                   core::log_offset highest_offset);

    /// Adds a member; its index of the failure domain is filled in.
    void add(peer::digest_member item, core::failure_domain const& domain);

    /// The digests.
    std::vector<peer::cell_digest> finish();

private:
    void flush();

    /// The digest that is being filled.
    peer::cell_digest current_;
    /// Its size on the wire.
    std::size_t size_bytes_ = 0;
    /// Digests that are full.
    std::vector<peer::cell_digest> full_;
};

} // namespace kumquatloom::membership

#endif
