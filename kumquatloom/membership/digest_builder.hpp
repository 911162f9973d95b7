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

/// Splits the members of a cell into digests that fit one datagram each.
class digest_builder
{
public:
    /// Takes the fields that all digests of the cell share.
    digest_builder(core::region region,
                   std::uint16_t cell,
                   core::log_offset lowest_offset,
                   core::log_offset highest_offset);

    /// Adds a member; sets its failure domain index.
    void add(peer::digest_member item, core::failure_domain const& domain);

    /// Returns the digests; at least one.
    std::vector<peer::cell_digest> finish();

private:
    void flush();

    /// The digest to which members are added.
    peer::cell_digest current_;
    /// Upper bound of the encoded size of the members and failure domains in
    /// `current_`.
    std::size_t size_bytes_ = 0;
    /// Completed digests.
    std::vector<peer::cell_digest> full_;
};

} // namespace kumquatloom::membership

#endif
