#ifndef KUMQUATLOOM_CORE_IDS_HPP
#define KUMQUATLOOM_CORE_IDS_HPP

#include <kumquatloom/core/strong_string.hpp>

#include <cstdint>

namespace kumquatloom::core
{

/// Identifies an entry instance.
using instance_id = strong_string<struct instance_id_tag>;
/// Identifies an upstream.
using upstream_id = strong_string<struct upstream_id_tag>;
/// Names a service, which is a group of equivalent upstreams.
using service_name = strong_string<struct service_name_tag>;
/// Names an organisation, on whose behalf callers send requests.
using organisation_name = strong_string<struct organisation_name_tag>;
/// Names a failure domain.
using failure_domain = strong_string<struct failure_domain_tag>;
/// Names a region, which holds several failure domains.
using region = strong_string<struct region_tag>;
/// Identifies one request to an upstream and the response to it.
using request_id = strong_string<struct request_id_tag>;

/// Number that distinguishes the process starts of one instance.
using incarnation = std::uint64_t;
/// Position of a record in the platform's log, counted from 0, or a number of
/// records from the start of the log. The version of a document is the offset
/// of its last accepted edit.
using log_offset = std::uint64_t;

} // namespace kumquatloom::core

#endif
