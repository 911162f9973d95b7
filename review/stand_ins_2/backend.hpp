#ifndef KUMQUATLOOM_REVIEW_STAND_INS_2_BACKEND_HPP
#define KUMQUATLOOM_REVIEW_STAND_INS_2_BACKEND_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <review/stand_ins_2/server.hpp>
#include <review/stand_ins_2/store.hpp>
#include <string>
#include <utility>
#include <vector>

namespace kumquatloom::review
{

/// The requests that backends have run, by id.
class run_table
{
public:
    void add(std::string const& request)
    {
        std::lock_guard const lock(mutex_);
        ++runs_[request];
    }

    unsigned runs_of(std::string const& request) const
    {
        std::lock_guard const lock(mutex_);
        auto const found = runs_.find(request);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, unsigned> runs_;
};

/// A sound backend of a service. Its response to a request whose path
/// contains "/large" has `large_bytes`, others are short.
class backend
{
public:
    backend(std::string id,
            std::string host,
            std::uint16_t port,
            store& directory,
            run_table& runs,
            std::size_t large_bytes,
            std::string service = "shop");

    /// The requests that it has run: id and start line.
    std::vector<std::pair<std::string, std::string>> runs() const;

    std::string const& id() const
    {
        return id_;
    }

    std::string const& address() const
    {
        return address_;
    }

    /// Writes the entry of the backend, as it does at its start and at each
    /// check-in.
    void check_in();

private:
    void serve(connection& peer);

    std::string const id_;
    std::string const service_;
    std::string const address_;
    store& directory_;
    run_table& runs_;
    std::size_t const large_bytes_;
    long const born_;
    unsigned sequence_ = 0;
    mutable std::mutex mutex_;
    std::vector<std::pair<std::string, std::string>> own_runs_;
    server server_;
};

} // namespace kumquatloom::review

#endif
