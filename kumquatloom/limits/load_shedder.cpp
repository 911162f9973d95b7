#include <kumquatloom/limits/load_shedder.hpp>

#include <boost/assert.hpp>

namespace kumquatloom::limits
{

load_shedder::load_shedder(load_shedder_settings settings)
    : settings_(settings)
{
    BOOST_ASSERT(settings.low_percent <= settings.normal_percent);
    BOOST_ASSERT(settings.normal_percent <= 100);
}

bool load_shedder::try_admit(priority value)
{
    auto const bound = places(value);
    auto count = requests_.load(std::memory_order_relaxed);
    do
    {
        if (count >= bound)
        {
            shed_.increment(value);
            return false;
        }
    } while (!requests_.compare_exchange_weak(
        count, count + 1, std::memory_order_relaxed));
    return true;
}

void load_shedder::release()
{
    auto const before = requests_.fetch_sub(1, std::memory_order_relaxed);
    BOOST_ASSERT(before > 0);
    static_cast<void>(before);
}

std::size_t load_shedder::places(priority value) const
{
    switch (value)
    {
    case priority::high:
        return settings_.requests;
    case priority::normal:
        return settings_.requests * settings_.normal_percent / 100;
    case priority::low:
        return settings_.requests * settings_.low_percent / 100;
    case priority::count:
        break;
    }
    return 0;
}

} // namespace kumquatloom::limits
