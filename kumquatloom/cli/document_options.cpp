#include <kumquatloom/cli/document_options.hpp>

#include <cxxopts.hpp>

#include <iostream>

namespace kumquatloom::cli
{

std::optional<settings::endpoint>
required_endpoint(cxxopts::ParseResult const& parsed, std::string const& option)
{
    auto const text = required_text(parsed, option);
    if (!text)
        return std::nullopt;
    auto address = settings::parse_endpoint(*text);
    if (!address)
        std::cerr << "--" << option << ": '" << *text
                  << "' is not an IP address and a port, ip:port\n";
    return address;
}

std::optional<std::string> required_text(cxxopts::ParseResult const& parsed,
                                         std::string const& option)
{
    if (parsed.count(option) != 0)
        return parsed[option].as<std::string>();
    std::cerr << "--" << option << " is missing\n";
    return std::nullopt;
}

} // namespace kumquatloom::cli
