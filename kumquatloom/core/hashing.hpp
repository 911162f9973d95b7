#ifndef KUMQUATLOOM_CORE_HASHING_HPP
#define KUMQUATLOOM_CORE_HASHING_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::core
{

/// xxHash64 of the bytes, the same on every instance.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Score of a candidate for a key in rendezvous hashing; the candidate with
/// the highest score owns the key.
std::uint64_t rendezvous_score(std::string_view key,
                               std::string_view candidate);

} // namespace kumquatloom::core

#endif
