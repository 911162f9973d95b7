#include <kumquatloom/document/reduced_state.hpp>

namespace kumquatloom::document
{

core::sha256_digest extend_chain(core::sha256_digest const& chain,
                                 core::log_offset offset,
                                 std::string_view data)
{
    auto const record_digest = core::sha256(data);
    std::string bytes(core::as_bytes(chain));
    bytes += std::to_string(offset) + '\n';
    bytes += core::as_bytes(record_digest);
    return core::sha256(bytes);
}

} // namespace kumquatloom::document
