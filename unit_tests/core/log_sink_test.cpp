#include <kumquatloom/core/log_sink.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <unistd.h>

namespace
{

using namespace kumquatloom;

/// A pipe whose reader takes nothing until it is asked to.
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

    /// Everything that is in the pipe.
    std::string take(std::size_t most)
    {
        std::string bytes(most, '\0');
        auto const size = ::read(ends_[0], bytes.data(), most);
        REQUIRE(size >= 0);
        bytes.resize(static_cast<std::size_t>(size));
        return bytes;
    }

private:
    /// Read end and write end.
    std::array<int, 2> ends_{};
};

} // namespace

// Guards against a process that stops because nobody reads its log.
TEST_CASE("a log that is not read never blocks its writer", "[core]")
{
    slow_reader reader;
    core::log_sink sink(reader.writer(), 16 * 1024);

    SECTION("lines arrive in order")
    {
        sink.write("one");
        sink.write("two");
        sink.flush();
        CHECK(reader.take(100) == "one\ntwo\n");
    }

    SECTION("what the pipe and the buffer do not hold is dropped and counted")
    {
        std::string const line(1000, 'x');
        // Far more than a pipe and the buffer hold together.
        for (int i = 0; i < 1000; ++i)
            sink.write(line);
        CHECK(sink.dropped() > 0);
        auto const dropped = sink.dropped();
        // Once the reader is back, a line tells about it.
        reader.take(1024 * 1024);
        sink.flush();
        sink.write("last");
        sink.flush();
        auto const rest = reader.take(1024 * 1024);
        CHECK(rest.find("\"count\":" + std::to_string(dropped)) !=
              std::string::npos);
        CHECK(rest.ends_with("last\n"));
    }
}
