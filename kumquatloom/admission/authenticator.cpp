#include <kumquatloom/admission/authenticator.hpp>
#include <kumquatloom/core/mutation.hpp>

#include <algorithm>
#include <bit>

namespace kumquatloom::admission
{

namespace
{

/// Upper bound of the average number of credentials in a bucket, until
/// max_bucket_bits is reached. Eight credentials take five cache lines.
constexpr std::size_t credentials_per_bucket = 8;
/// Maximum number of digest bits that select a bucket. bucket_of() takes the
/// bits from the first four bytes of the digest.
constexpr unsigned max_bucket_bits = 24;

} // namespace

authenticator::authenticator(
    std::map<core::organisation_name, document::organisation_settings> const&
        organisations)
{
    std::size_t count = 0;
    for (auto const& [name, organisation] : organisations)
        count += organisation.credentials.size();
    credentials_.reserve(count);
    for (auto const& [name, organisation] : organisations)
    {
        auto const index = names_.add(name.value());
        for (auto const& digest : organisation.credentials)
            credentials_.push_back({digest, index});
    }
    names_.shrink();
    build_index();
    sort_buckets();
    if (!core::is_mutated(core::mutation::keep_ambiguous_key))
        drop_ambiguous();
    if (ambiguous_ > 0)
        build_index();
}

core::result<organisation_index, refusal_reason>
authenticator::authenticate(core::sha256_digest const& digest) const
{
    auto const bucket = bucket_of(digest);
    // Compares all candidates, so that the time does not depend on the position
    // of a match.
    credential const* found = nullptr;
    for (auto i = buckets_[bucket]; i < buckets_[bucket + 1]; ++i)
        if (core::constant_time_equal(core::as_bytes(credentials_[i].digest),
                                      core::as_bytes(digest)))
            found = &credentials_[i];
    if (found == nullptr)
        return core::failure(refusal_reason::unknown_credential);
    return core::success(organisation_index{found->organisation});
}

std::size_t authenticator::memory() const
{
    return names_.memory() + credentials_.capacity() * sizeof(credential) +
           buckets_.capacity() * sizeof(std::uint32_t);
}

void authenticator::drop_ambiguous()
{
    auto target = credentials_.begin();
    for (auto group = credentials_.begin(); group != credentials_.end();)
    {
        auto const end = std::find_if(group,
                                      credentials_.end(),
                                      [&](credential const& item)
                                      {
                                          return item.digest != group->digest;
                                      });
        bool const same_organisation =
            std::all_of(group,
                        end,
                        [&](credential const& item)
                        {
                            return item.organisation == group->organisation;
                        });
        if (same_organisation)
            *target++ = *group;
        else
            ++ambiguous_;
        group = end;
    }
    credentials_.erase(target, credentials_.end());
    credentials_.shrink_to_fit();
}

void authenticator::build_index()
{
    bucket_bits_ = 0;
    while (bucket_bits_ < max_bucket_bits &&
           (credentials_per_bucket << bucket_bits_) < credentials_.size())
        ++bucket_bits_;
    buckets_.assign((std::size_t(1) << bucket_bits_) + 1, 0);
    for (auto const& item : credentials_)
        ++buckets_[bucket_of(item.digest) + 1];
    for (std::size_t i = 1; i < buckets_.size(); ++i)
        buckets_[i] += buckets_[i - 1];
}

void authenticator::sort_buckets()
{
    std::vector<credential> sorted(credentials_.size());
    auto next = buckets_;
    for (auto const& item : credentials_)
        sorted[next[bucket_of(item.digest)]++] = item;
    credentials_.swap(sorted);
    for (std::size_t i = 0; i + 1 < buckets_.size(); ++i)
        std::sort(credentials_.begin() + buckets_[i],
                  credentials_.begin() + buckets_[i + 1],
                  [](credential const& left, credential const& right)
                  {
                      return left.digest < right.digest;
                  });
}

std::size_t authenticator::bucket_of(core::sha256_digest const& digest) const
{
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < 4; ++i)
        bits = bits << 8U | digest[i];
    return static_cast<std::size_t>(bits >> (32U - bucket_bits_));
}

} // namespace kumquatloom::admission
