#ifndef KUMQUATLOOM_REVIEW_STAND_INS_2_RECORD_HPP
#define KUMQUATLOOM_REVIEW_STAND_INS_2_RECORD_HPP

#include <chrono>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <review/stand_ins_2/connection.hpp>
#include <string>

namespace kumquatloom::review
{

/// The file that lists what was sent, answered and run. Thread-safe.
class record
{
public:
    explicit record(std::string const& path)
        : file_(path)
    {
    }

    void write(std::string const& line)
    {
        std::lock_guard const lock(mutex_);
        std::chrono::duration<double> const time = steady::now() - began_;
        file_ << std::fixed << std::setprecision(3) << time.count() << " "
              << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point const began_ = steady::now();
};

} // namespace kumquatloom::review

#endif
