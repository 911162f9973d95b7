#include <array>
#include <fstream>
#include <soak/soak_instance.hpp>

namespace kumquatloom::soak
{

namespace
{

/// Ports of every instance, as in the settings file.
constexpr std::uint16_t callers_port = 8144;
constexpr std::uint16_t directory_port = 8143;
/// Third octets of the IP addresses, by their use.
constexpr unsigned instance_group = 1;
constexpr unsigned caller_link_group = 2;
constexpr unsigned store_link_group = 3;
/// Failure domains, two in each region.
constexpr std::array<char const*, 4> domains{
    "west-1", "west-2", "east-1", "east-2"};

std::string name_of(std::size_t number)
{
    return "front-" + std::to_string(number);
}

/// Writes the settings file and returns its path.
std::string write_settings(soak_settings const& settings,
                           std::size_t number,
                           std::string const& host,
                           settings::endpoint const& store)
{
    auto path = settings.log_folder + "/" + name_of(number) + ".conf";
    auto const domain = domain_of(number);
    std::ofstream file(path);
    file << "node=" << name_of(number) << "\nip=" << host << "\nzone=" << domain
         << "\nregion=" << domain.substr(0, domain.find('-'))
         << "\nlisten.front=" << host << ":" << callers_port
         << "\nlisten.ready=" << host << ":8140\nlisten.control=" << host
         << ":8146\nlisten.directory=" << host << ":" << directory_port
         << "\ninternalPortRange=7660,7675\nseeds="
         << host_in(settings, instance_group, 0)
         << ":8146\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
            "bounds=graceS=6,retryBudgetRatio=0.2,ttl_max_s=5\n"
            "platform.address="
         << to_string(store) << "\n";
    for (std::string const name : domains)
        file << "zones." << name << "=" << name.substr(0, name.find('-'))
             << "\n";
    return path;
}

} // namespace

std::string domain_of(std::size_t number)
{
    return domains.at(number % domains.size());
}

std::string
host_in(soak_settings const& settings, unsigned group, std::size_t number)
{
    return "127." + std::to_string(settings.net) + "." + std::to_string(group) +
           "." + std::to_string(number + 1);
}

soak_instance::soak_instance(boost::asio::io_context& context,
                             soak_settings const& settings,
                             std::size_t number,
                             settings::endpoint const& store)
    : host_(host_in(settings, instance_group, number))
    , callers_(context,
               {host_in(settings, caller_link_group, number), 0},
               {host_, callers_port})
    , store_(context, {host_in(settings, store_link_group, number), 0}, store)
    , process_(settings.program,
               write_settings(settings, number, host_, store_.address()),
               settings.log_folder + "/" + name_of(number) + ".log")
{
}

void soak_instance::start()
{
    process_.start();
}

settings::endpoint soak_instance::directory() const
{
    return {host_, directory_port};
}

bool soak_instance::stable_since(core::time_point from)
{
    return no_unplanned_since(from) && process_.planned().stable_since(from) &&
           store_.disturbance().stable_since(from);
}

bool soak_instance::no_unplanned_since(core::time_point from)
{
    return process_.unplanned().stable_since(from) &&
           callers_.disturbance().stable_since(from);
}

} // namespace kumquatloom::soak
