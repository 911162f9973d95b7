#include <kumquatloom/entry/connection_slots.hpp>

namespace kumquatloom::entry
{

connection_slots::slot::slot(connection_slots& slots, beast::tcp_stream& stream)
    : slots_(slots)
    , stream_(stream)
{
    ++slots_.open_;
    slots_.waiting_.push_back(*this);
    if (slots_.open_ > slots_.limit_)
        slots_.waiting_.front().close();
}

connection_slots::slot::~slot()
{
    if (is_open_)
        --slots_.open_;
}

void connection_slots::slot::begin_request()
{
    if (is_linked())
        unlink();
}

void connection_slots::slot::end_request()
{
    if (is_open_ && !is_linked())
        slots_.waiting_.push_back(*this);
}

void connection_slots::slot::close()
{
    unlink();
    is_open_ = false;
    --slots_.open_;
    if (slots_.on_close_)
        slots_.on_close_();
    // Frees the descriptor now; the coroutine ends with its next operation.
    stream_.close();
}

} // namespace kumquatloom::entry
