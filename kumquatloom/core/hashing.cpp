#include <kumquatloom/core/hashing.hpp>

#include <xxhash.h>

namespace kumquatloom::core
{

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate)
{
    return stable_hash(candidate, stable_hash(key));
}

} // namespace kumquatloom::core
