#include <kumquatloom/hosting/replica_paths.hpp>

#include <charconv>

namespace kumquatloom::hosting
{

namespace
{

constexpr std::string_view changes_prefix = "/changes/";
constexpr char separator = '/';

/// Removes an offset from the front of `text`.
std::optional<core::log_offset> take_offset(std::string_view& text)
{
    core::log_offset value = 0;
    auto const read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc())
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
    return value;
}

} // namespace

std::string changes_target(store_position const& since)
{
    return std::string(changes_prefix) + std::to_string(since.configuration) +
           separator + std::to_string(since.upstreams);
}

std::optional<store_position> parse_changes_target(std::string_view target)
{
    if (!target.starts_with(changes_prefix))
        return std::nullopt;
    target.remove_prefix(changes_prefix.size());
    auto const configuration = take_offset(target);
    if (!configuration || !target.starts_with(separator))
        return std::nullopt;
    target.remove_prefix(1);
    auto const upstreams = take_offset(target);
    if (!upstreams || !target.empty())
        return std::nullopt;
    return store_position{*configuration, *upstreams};
}

} // namespace kumquatloom::hosting
