#ifndef KUMQUATLOOM_ENTRY_INSTANCE_LIST_HPP
#define KUMQUATLOOM_ENTRY_INSTANCE_LIST_HPP

#include <kumquatloom/core/fault.hpp>
#include <kumquatloom/core/ids.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::entry
{

/// One entry instance or upstream of the platform's list.
struct listed_instance
{
    /// Its name.
    std::string id;
    /// The service of an upstream; empty for an entry instance.
    core::service_name service;
    /// IP number.
    std::string host;
    /// Port for requests.
    std::uint16_t port = 0;
    /// Port of the inner protocol; 0 for an upstream.
    std::uint16_t peer_port = 0;
    /// Where it runs.
    core::failure_domain failure_domain;
    /// The region of that failure domain.
    core::region region;
    /// Whether it is leaving.
    bool leaving = false;
};

/// One reading of the platform's list.
struct instance_list : boost::intrusive_ref_counter<instance_list>
{
    /// Entry instances in the order of the list.
    std::vector<listed_instance> entries;
    /// Upstreams by service.
    std::map<core::service_name, std::vector<listed_instance>> upstreams;
};

/// Parses the platform's answer; adds every fault that it finds. The result
/// is usable only if no fault was added.
boost::intrusive_ptr<instance_list>
parse_instance_list(std::string_view text, core::fault_list& faults);

} // namespace kumquatloom::entry

#endif
