#include <measure/scenario.hpp>
#include <stdexcept>
#include <utility>

namespace kumquatloom::measure
{

using namespace std::chrono_literals;

routing::locality scenario::place(unsigned domain)
{
    return {core::failure_domain("domain-" + std::to_string(domain)),
            core::region("region-" + std::to_string(domain / 2))};
}

core::duration scenario::latency(unsigned from, unsigned to)
{
    if (from == to)
        return 100us;
    return from / 2 == to / 2 ? 500us : 8000us;
}

bool scenario::is_unhealthy(unsigned upstream, core::time_point now) const
{
    bool const is_affected = now >= fault_at && is_victim(upstream);
    switch (fault)
    {
    case fault_kind::slow:
    case fault_kind::errors:
    case fault_kind::wrong:
    case fault_kind::flap:
    case fault_kind::leaving:
        return is_affected;
    case fault_kind::none:
    case fault_kind::one_way:
    case fault_kind::overload:
    case fault_kind::cold_start:
        return false;
    }
    return false;
}

std::vector<routing::listed_upstream> scenario::list(core::time_point now) const
{
    constexpr std::uint16_t port = 80;
    std::vector<routing::listed_upstream> result;
    for (unsigned i = 0; i < service.expected_upstreams; ++i)
    {
        auto const location = place(domain_of_upstream(i));
        routing::listed_upstream item{{core::upstream_id(std::to_string(i)),
                                       core::service_name("service"),
                                       "127.0.0.1",
                                       port,
                                       location.domain,
                                       location.region,
                                       service.slots}};
        bool const is_affected = now >= fault_at && is_victim(i);
        item.leaving = is_affected && fault == fault_kind::leaving;
        // The replacement of an upstream has a different address.
        if (is_affected && fault == fault_kind::cold_start)
            ++item.endpoint.port;
        result.push_back(std::move(item));
    }
    return result;
}

fault_kind parse_fault(std::string const& name)
{
    static constexpr std::array<std::pair<char const*, fault_kind>, 9> names = {
        {{"none", fault_kind::none},
         {"slow", fault_kind::slow},
         {"errors", fault_kind::errors},
         {"wrong", fault_kind::wrong},
         {"flap", fault_kind::flap},
         {"one-way", fault_kind::one_way},
         {"overload", fault_kind::overload},
         {"cold-start", fault_kind::cold_start},
         {"leaving", fault_kind::leaving}}};
    for (auto const& [text, kind] : names)
        if (name == text)
            return kind;
    throw std::invalid_argument("unknown fault '" + name + "'");
}

} // namespace kumquatloom::measure
