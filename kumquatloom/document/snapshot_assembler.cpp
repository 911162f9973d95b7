#include <kumquatloom/document/snapshot_assembler.hpp>
#include <kumquatloom/document/state_snapshot.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::document
{

namespace
{

/// Whether both records are parts of one snapshot.
bool same_snapshot(snapshot_record const& left, snapshot_record const& right)
{
    return left.id == right.id && left.offset == right.offset &&
           left.parts == right.parts && left.chain == right.chain &&
           left.digest == right.digest;
}

} // namespace

void snapshot_assembler::add(snapshot_record record)
{
    auto const found =
        std::find_if(partial_.begin(),
                     partial_.end(),
                     [&](assembled_snapshot const& snapshot)
                     {
                         return same_snapshot(snapshot.header, record);
                     });
    if (found == partial_.end())
    {
        start_snapshot(std::move(record));
        return;
    }
    if (record.part != found->header.part + 1)
        return;
    found->header.part = record.part;
    found->text += record.data;
    if (found->text.size() > max_snapshot_bytes)
    {
        partial_.erase(found);
        return;
    }
    if (found->header.part + 1 < found->header.parts)
        return;
    auto completed = std::move(*found);
    partial_.erase(found);
    complete(std::move(completed));
}

void snapshot_assembler::clear()
{
    partial_.clear();
    newest_.reset();
}

std::size_t snapshot_assembler::buffered_bytes() const
{
    std::size_t bytes = newest_ ? newest_->text.size() : 0;
    for (auto const& snapshot : partial_)
        bytes += snapshot.text.size();
    return bytes;
}

void snapshot_assembler::start_snapshot(snapshot_record record)
{
    if (record.part != 0)
        return;
    assembled_snapshot snapshot;
    snapshot.text = std::move(record.data);
    record.data.clear();
    snapshot.header = std::move(record);
    if (snapshot.header.parts == 1)
    {
        complete(std::move(snapshot));
        return;
    }
    partial_.push_back(std::move(snapshot));
    if (partial_.size() > max_partial)
        partial_.pop_front();
}

void snapshot_assembler::complete(assembled_snapshot snapshot)
{
    bool const is_newer =
        !newest_ || newest_->header.offset < snapshot.header.offset;
    // An invalid snapshot must not replace an older valid one.
    if (is_newer && parse_snapshot(snapshot.header, snapshot.text))
        newest_ = std::move(snapshot);
}

} // namespace kumquatloom::document
