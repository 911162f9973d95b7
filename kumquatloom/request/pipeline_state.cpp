#include <kumquatloom/request/pipeline_state.hpp>

#include <boost/assert.hpp>

namespace kumquatloom::request
{

void pipeline_state::add(std::size_t bytes, bool is_last)
{
    bytes_ += bytes;
    ++size_;
    ended_ = ended_ || is_last;
}

void pipeline_state::start(idempotency kind)
{
    BOOST_ASSERT(waiting() != 0);
    BOOST_ASSERT(started_ == 0 ||
                 (!runs_alone_ && kind == idempotency::idempotent));
    ++started_;
    next_waits_ = false;
    runs_alone_ = kind != idempotency::idempotent;
}

void pipeline_state::remove_front(std::size_t bytes)
{
    BOOST_ASSERT(started_ != 0 && bytes <= bytes_);
    bytes_ -= bytes;
    --size_;
    --started_;
    runs_alone_ = false;
}

} // namespace kumquatloom::request
