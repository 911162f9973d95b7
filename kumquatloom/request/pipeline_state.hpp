#ifndef KUMQUATLOOM_REQUEST_PIPELINE_STATE_HPP
#define KUMQUATLOOM_REQUEST_PIPELINE_STATE_HPP

#include <kumquatloom/request/idempotency.hpp>

#include <cstddef>

namespace kumquatloom::request
{

/// The unanswered requests of one connection, in order. Decides whether the
/// next one may be read and whether the first one that waits may start:
/// idempotent requests run beside each other, any other request runs alone.
class pipeline_state
{
public:
    /// `max_bytes` bounds the memory of the requests.
    explicit pipeline_state(std::size_t max_bytes)
        : max_bytes_(max_bytes)
    {
    }

    /// Adds a request that was read completely. After one that `is_last`, for
    /// example because it closes the connection, none is read.
    void add(std::size_t bytes, bool is_last);

    /// Whether another request may be read while `window` requests may be in
    /// progress.
    bool may_read(std::size_t window) const
    {
        return !ended_ && size_ < window && bytes_ < max_bytes_;
    }

    /// Whether the first waiting request may start beside those in progress if
    /// it turns out to be idempotent.
    bool may_start_beside(std::size_t window) const
    {
        return waiting() != 0 && started_ != 0 && started_ < window &&
               !runs_alone_ && !next_waits_;
    }

    /// The first waiting request starts.
    void start(idempotency kind);

    /// States the kind of the request in front, which has started. A front
    /// whose kind is not known yet runs alone.
    void front_is(idempotency kind)
    {
        runs_alone_ = kind != idempotency::idempotent;
    }

    /// The first waiting request isn't idempotent and waits until it is in
    /// front.
    void hold_next()
    {
        next_waits_ = true;
    }

    /// No further request is read.
    void end()
    {
        ended_ = true;
    }

    /// The request in front was answered. `bytes` is the size with which it was
    /// added.
    void remove_front(std::size_t bytes);

    /// Requests that were read and not answered.
    std::size_t size() const
    {
        return size_;
    }

    /// Requests of these that have started. They come first.
    std::size_t started() const
    {
        return started_;
    }

    /// Requests that have not started.
    std::size_t waiting() const
    {
        return size_ - started_;
    }

private:
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::size_t size_ = 0;
    std::size_t started_ = 0;
    /// Whether the request in front allows no other beside it.
    bool runs_alone_ = false;
    /// Whether the first waiting request must become the front first.
    bool next_waits_ = false;
    /// Whether no further request is read.
    bool ended_ = false;
};

} // namespace kumquatloom::request

#endif
