#ifndef KUMQUATLOOM_CORE_RCU_READ_SECTION_HPP
#define KUMQUATLOOM_CORE_RCU_READ_SECTION_HPP

namespace kumquatloom::core
{

/// A read-side critical section of the calling thread. The first section of a
/// thread registers the thread with liburcu. Sections are short and never span
/// a suspension point.
class rcu_read_section
{
public:
    rcu_read_section();
    ~rcu_read_section();
    rcu_read_section(rcu_read_section const&) = delete;
    rcu_read_section& operator=(rcu_read_section const&) = delete;
};

/// Blocks until every read-side section that was open at the call has ended.
void wait_for_readers();

} // namespace kumquatloom::core

#endif
