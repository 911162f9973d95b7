#include <chrono>
#include <cstdlib>
#include <review/stand_ins_2/store.hpp>
#include <thread>

namespace kumquatloom::review
{

namespace
{

using namespace std::chrono_literals;

/// Time of a call, as the platform's pages state it.
constexpr auto call_time = 4ms;
/// Size at which a page of records ends.
constexpr std::size_t max_page_bytes = 1024 * 1024;

std::string parameter(std::string const& target, std::string const& name)
{
    for (auto at = target.find('?'); at != std::string::npos;
         at = target.find('&', at + 1))
        if (target.compare(at + 1, name.size() + 1, name + "=") == 0)
        {
            auto const start = at + name.size() + 2;
            return target.substr(start, target.find('&', start) - start);
        }
    return {};
}

template <typename Number>
void append_number(std::string& bytes, Number number)
{
    for (int shift = 8 * (static_cast<int>(sizeof number) - 1); shift >= 0;
         shift -= 8)
        bytes.push_back(static_cast<char>(number >> shift & 0xFF));
}

std::string to_base64(std::string_view bytes)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        auto const left = std::min<std::size_t>(3, bytes.size() - at);
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i)
            group = group << 8U |
                    (i < left ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            text.push_back(i <= left ? digits[group >> (18 - 6 * i) & 63U]
                                     : '=');
    }
    return text;
}

} // namespace

store::store(std::string const& host, std::uint16_t port)
    : address_(host + ":" + std::to_string(port))
    , server_(host,
              port,
              [this](connection& peer)
              {
                  serve(peer);
              })
{
}

void store::put(std::string const& topic,
                std::string const& key,
                std::string const& value)
{
    std::lock_guard const lock(mutex_);
    auto& state = topics_[topic];
    state.records.emplace_back(key, value);
    if (value.empty())
        state.newest.erase(key);
    else
        state.newest[key] = {value, state.records.size() - 1};
}

void store::put_configuration(unsigned version,
                              std::string const& rows,
                              std::vector<std::string> const& services)
{
    std::string service_rows;
    for (auto const& name : services)
        service_rows += (service_rows.empty() ? "[\"" : ",[\"") + name +
                        R"(","/health",390,"h1",false])";
    put("keyed.op",
        "config",
        R"({"version":)" + std::to_string(version) +
            R"(,"routes":{"columns":["name","host","pathPrefix","kind",)"
            R"("timeoutS","targetLatencyS","priority","split","maxAttempts",)"
            R"("service"],"rows":[)" +
            rows +
            R"(]},"services":{"columns":["name","healthPath","maxConns",)"
            R"("protocol","tls"],"rows":[)" +
            service_rows +
            R"(]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
            R"("headerTimeoutS":3,"idleTimeoutS":15},"baseVersion":)" +
            std::to_string(version - 1) + "}");
}

void store::serve(connection& peer)
{
    while (auto const head = peer.read_head(30s))
    {
        auto const body = peer.read_body(*head, 5s);
        if (!body)
            return;
        std::this_thread::sleep_for(call_time);
        auto const start = head->start_line.find(' ') + 1;
        auto const target = head->start_line.substr(
            start, head->start_line.find(' ', start) - start);
        auto const [status, text] = respond(target, *body);
        bool const sent = peer.send(
            "HTTP/1.1 " + std::to_string(status) +
            " X\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(text.size()) + "\r\n\r\n" + text);
        if (!sent)
            return;
    }
}

std::pair<int, std::string> store::respond(std::string const& target,
                                           std::string_view body)
{
    auto const path = target.substr(0, target.find('?'));
    auto const name = parameter(target, "topic");
    if (path == "/log-append")
    {
        // Each record is its length, the length of its key, the key and the
        // value.
        for (std::size_t at = 0; at + 4 < body.size();)
        {
            std::size_t size = 0;
            for (std::size_t i = 0; i < 4; ++i)
                size = size << 8U | static_cast<unsigned char>(body[at + i]);
            auto const record = body.substr(at + 4, size);
            auto const key_size = static_cast<unsigned char>(record[0]);
            put(name,
                std::string(record.substr(1, key_size)),
                std::string(record.substr(1 + key_size)));
            at += 4 + size;
        }
    }
    std::lock_guard const lock(mutex_);
    auto const& topic = topics_[name];
    auto const end = topic.records.size();
    if (path == "/log-append")
        return {200,
                R"({"offset":)" + std::to_string(end - 1) + R"(,"end":)" +
                    std::to_string(end) + "}"};
    if (path == "/log-newest")
        return {200, newest(topic)};
    if (path != "/log-read")
        return {404, "{}"};
    std::string bytes;
    append_number(bytes, static_cast<std::uint64_t>(end));
    append_number(bytes, std::uint64_t{0});
    auto const from =
        std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
    for (auto i = from; i < end && bytes.size() < max_page_bytes; ++i)
    {
        auto const& [key, value] = topic.records[i];
        append_number(
            bytes, static_cast<std::uint32_t>(1 + key.size() + value.size()));
        bytes.push_back(static_cast<char>(key.size()));
        bytes.append(key).append(value);
    }
    return {200, bytes};
}

std::string store::newest(topic_state const& topic) const
{
    std::string items;
    for (auto const& [key, item] : topic.newest)
        items += (items.empty() ? R"({"key":")" : R"(,{"key":")") + key +
                 R"(","value":")" + to_base64(item.first) + R"(","offset":)" +
                 std::to_string(item.second) + "}";
    return R"({"items":[)" + items + R"(],"hasMore":false,"end":)" +
           std::to_string(topic.records.size()) + "}";
}

} // namespace kumquatloom::review
