#include <kumquatloom/core/log_sink.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <unistd.h>

namespace
{

using namespace kumquatloom;

/// A pipe that is read only by calls of read_available().
class slow_reader
{
public:
    slow_reader()
    {
        REQUIRE(::pipe(ends_.data()) == 0);
    }

    ~slow_reader()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    int writer() const
    {
        return ends_[1];
    }

    /// Reads at most `max_bytes` bytes of the pipe's content.
    std::string read_available(std::size_t max_bytes)
    {
        std::string bytes(max_bytes, '\0');
        auto const size = ::read(ends_[0], bytes.data(), max_bytes);
        REQUIRE(size >= 0);
        bytes.resize(static_cast<std::size_t>(size));
        return bytes;
    }

private:
    /// Read end and write end.
    std::array<int, 2> ends_{};
};

} // namespace

// Guards against a process that blocks because its log is not read.
TEST_CASE("a log that is not read never blocks its writer", "[core]")
{
    slow_reader reader;
    core::log_sink sink(reader.writer(), 16 * 1024);

    SECTION("lines arrive in order")
    {
        sink.write("one");
        sink.write("two");
        sink.flush();
        CHECK(reader.read_available(100) == "one\ntwo\n");
    }

    SECTION("lines that exceed the pipe and the buffer are dropped and counted")
    {
        std::string const line(1000, 'x');
        // Far more than the capacity of the pipe and the buffer together.
        for (int i = 0; i < 1000; ++i)
            sink.write(line);
        CHECK(sink.dropped() > 0);
        auto const dropped = sink.dropped();
        // When the reader resumes, a line reports the number.
        reader.read_available(1024 * 1024);
        sink.flush();
        sink.write("last");
        sink.flush();
        auto const rest = reader.read_available(1024 * 1024);
        CHECK(rest.find("\"count\":" + std::to_string(dropped)) !=
              std::string::npos);
        CHECK(rest.ends_with("last\n"));
    }
}
