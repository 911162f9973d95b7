#include <kumquatloom/core/rcu_read_section.hpp>

#include <urcu/urcu-memb.h>

namespace kumquatloom::core
{

namespace
{

/// Registers a thread with liburcu for as long as the thread runs.
class thread_registration
{
public:
    thread_registration()
    {
        urcu_memb_register_thread();
    }

    ~thread_registration()
    {
        urcu_memb_unregister_thread();
    }

    thread_registration(thread_registration const&) = delete;
    thread_registration& operator=(thread_registration const&) = delete;
};

void ensure_thread_is_registered()
{
    thread_local thread_registration const registration;
    static_cast<void>(registration);
}

} // namespace

rcu_read_section::rcu_read_section()
{
    ensure_thread_is_registered();
    urcu_memb_read_lock();
}

rcu_read_section::~rcu_read_section()
{
    urcu_memb_read_unlock();
}

void wait_for_readers()
{
    ensure_thread_is_registered();
    urcu_memb_synchronize_rcu();
}

} // namespace kumquatloom::core
