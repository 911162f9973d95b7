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
#include <optional>
#include <string_view>
#include <vector>

namespace kumquatloom::admission
{

/// Number of an organisation within one document.
enum class organisation_index : std::uint32_t
{
};

/// Finds the organisation that a credential belongs to. The digests of all
/// credentials are sorted, and an index by their first bits gives the few
/// candidates. The steps depend on the digest of what the caller sent, which
/// reveals nothing about the secrets; digests are compared in constant time.
/// Does not change after construction.
class authenticator
{
public:
    /// Indexes the organisations of a document.
    explicit authenticator(
        std::map<core::organisation_name,
                 document::organisation_settings> const& organisations);

    /// The organisation that the value of an Authorization field proves.
    core::result<organisation_index, refusal_reason>
    authenticate(std::optional<std::string_view> authorization) const;

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

    /// Credentials that several organisations claim. They prove nothing and
    /// are refused.
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
        /// The organisation that it proves.
        std::uint32_t organisation;
    };

    /// Removes credentials that several organisations claim.
    void drop_ambiguous();
    /// Fills the index by the first bits.
    void build_index();
    /// Sorts by digest: first into the buckets, which takes one pass.
    void sort_buckets();
    /// The first bits of a digest, by which the index is addressed.
    std::size_t bucket(core::sha256_digest const& digest) const;

    /// Names of the organisations, sorted.
    string_pool names_;
    /// All credentials, sorted by digest.
    std::vector<credential> credentials_;
    /// For each value of the first bits the first credential, and the end.
    std::vector<std::uint32_t> buckets_;
    /// Number of first bits.
    unsigned bucket_bits_ = 0;
    /// Credentials that several organisations claim.
    std::size_t ambiguous_ = 0;
};

} // namespace kumquatloom::admission

#endif
