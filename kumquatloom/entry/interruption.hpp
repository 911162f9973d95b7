#ifndef KUMQUATLOOM_ENTRY_INTERRUPTION_HPP
#define KUMQUATLOOM_ENTRY_INTERRUPTION_HPP

#include <boost/intrusive/list.hpp>

#include <functional>
#include <utility>

namespace kumquatloom::entry
{

/// Links a callback into the list of a cancellation until it is destroyed.
using interruption_hook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Ends a pending wait when the operation is cancelled. Registered with a
/// cancellation; must be destroyed when the wait ends.
class interruption : public interruption_hook
{
public:
    /// `interrupt` is called when the operation is cancelled.
    explicit interruption(std::function<void()> interrupt)
        : interrupt_(std::move(interrupt))
    {
    }

    interruption(interruption const&) = delete;
    interruption& operator=(interruption const&) = delete;

    void operator()() const
    {
        interrupt_();
    }

private:
    std::function<void()> interrupt_;
};

/// The callbacks registered with one cancellation.
using interruption_list =
    boost::intrusive::list<interruption,
                           boost::intrusive::constant_time_size<false>>;

} // namespace kumquatloom::entry

#endif
