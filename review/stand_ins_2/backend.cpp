#include <chrono>
#include <review/stand_ins_2/backend.hpp>
#include <thread>
#include <utility>

namespace kumquatloom::review
{

namespace
{

using namespace std::chrono_literals;

/// Service time of each request.
constexpr auto work_time = 20ms;
constexpr std::size_t short_bytes = 400;

} // namespace

backend::backend(std::string id,
                 std::string host,
                 std::uint16_t port,
                 store& directory,
                 run_table& runs,
                 std::size_t large_bytes,
                 std::string service)
    : id_(std::move(id))
    , service_(std::move(service))
    , address_(host + ":" + std::to_string(port))
    , directory_(directory)
    , runs_(runs)
    , large_bytes_(large_bytes)
    , born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())
    , server_(host,
              port,
              [this](connection& peer)
              {
                  serve(peer);
              })
{
    check_in();
}

void backend::check_in()
{
    directory_.put("keyed.servers",
                   id_,
                   R"({"service":")" + service_ + R"(","address":")" +
                       address_ +
                       R"(","zone":"z1","version":"v1","slots":6,)"
                       R"("state":"ready","warmupLeftS":0,"seq":)" +
                       std::to_string(++sequence_) + R"(,"born":)" +
                       std::to_string(born_) + "}");
}

std::vector<std::pair<std::string, std::string>> backend::runs() const
{
    std::lock_guard const lock(mutex_);
    return own_runs_;
}

void backend::serve(connection& peer)
{
    while (auto const head = peer.read_head(10s))
    {
        auto const body = peer.read_body(*head, 10s);
        if (!body)
            return;
        auto const request = head->field("request-id");
        auto const expected = head->field("expected-instance");
        if (!expected.empty() && expected != id_)
        {
            if (!peer.send("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " +
                           request + "\r\nInstance-Id: " + id_ +
                           "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        runs_.add(request);
        {
            std::lock_guard const lock(mutex_);
            own_runs_.emplace_back(request, head->start_line);
        }
        std::this_thread::sleep_for(work_time);
        bool const is_large =
            head->start_line.find("/large") != std::string::npos;
        std::string text = request + "|";
        text.resize(is_large ? large_bytes_ : short_bytes, 'x');
        bool const sent =
            peer.send("HTTP/1.1 200 OK\r\nRequest-Id: " + request +
                      "\r\nResponse-Signature: 3e1b." + request +
                      "\r\nContent-Length: " + std::to_string(text.size()) +
                      "\r\n\r\n") &&
            peer.send(text);
        if (!sent)
            return;
    }
}

} // namespace kumquatloom::review
