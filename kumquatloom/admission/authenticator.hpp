#ifndef KUMQUATLOOM_ADMISSION_AUTHENTICATOR_HPP
#define KUMQUATLOOM_ADMISSION_AUTHENTICATOR_HPP

#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/admission/string_pool.hpp>
#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/document/document.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace kumquatloom::admission
{

/// Index of an organisation in one document.
enum class organisation_index : std::uint32_t
{
};

/// Finds the organisation to which a credential belongs. The digests of all
/// credentials are sorted and indexed by their first bits, so that a lookup
/// compares few of them, each in constant time. The steps of a lookup depend on
/// the digest of the received secret, which reveals nothing about valid
/// secrets. Immutable.
class authenticator
{
public:
    /// Indexes the organisations of a document.
    explicit authenticator(
        std::map<core::organisation_name,
                 document::organisation_settings> const& organisations);

    /// The organisation to which the credential with this digest belongs.
    core::result<organisation_index, refusal_reason>
    authenticate(core::sha256_digest const& digest) const;

    /// Number of organisations.
    std::size_t size() const
    {
        return names_.size();
    }

    /// The name of an organisation.
    std::string_view name(organisation_index organisation) const
    {
        return names_.at(static_cast<std::uint32_t>(organisation));
    }

    /// Number of credentials that several organisations list. They identify no
    /// organisation and are refused.
    std::size_t ambiguous_credentials() const
    {
        return ambiguous_;
    }

    /// Bytes of memory in use.
    std::size_t memory() const;

private:
    /// One accepted credential.
    struct credential
    {
        /// Digest of the secret.
        core::sha256_digest digest;
        /// Index of the organisation that has the credential.
        std::uint32_t organisation;
    };

    /// Removes credentials that several organisations list, and repetitions
    /// within one organisation.
    void drop_ambiguous();
    /// Fills `buckets_`.
    void build_index();
    /// Sorts the credentials by digest: a counting sort by bucket, then a sort
    /// of each bucket.
    void sort_buckets();
    /// The bucket of a digest, which is given by its first bits.
    std::size_t bucket_of(core::sha256_digest const& digest) const;

    /// Names of the organisations in ascending order.
    string_pool names_;
    /// All credentials, sorted by digest.
    std::vector<credential> credentials_;
    /// Index of the first credential of each bucket, and the end of the last
    /// bucket.
    std::vector<std::uint32_t> buckets_;
    /// Number of digest bits that select the bucket.
    unsigned bucket_bits_ = 0;
    /// Number of credentials that several organisations list.
    std::size_t ambiguous_ = 0;
};

} // namespace kumquatloom::admission

#endif
