#include <unit_tests/entry/endless_response.hpp>

namespace kumquatloom::unit_tests
{

std::vector<endless_response> endless_responses(std::string const& fields)
{
    std::string const line = "HTTP/1.1 200 OK\r\n";
    std::string const head = line + fields;
    std::string const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string const last_chunk = chunked + "1\r\nx\r\n0\r\n";
    std::string const extension(500, 'x');
    return {
        {"bytes before the status line", "", "x"},
        {"line ends before the status line", "", "\r\n"},
        {"the reason phrase", "HTTP/1.1 200 ", "x"},
        {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"a field name", line, "x"},
        {"a field value", line + "X: ", "x"},
        {"header fields", line, "X: x\r\n"},
        {"a folded header field", line + "X: x", "\r\n x"},
        {"a body with a length",
         head + "Content-Length: 1000000000000\r\n\r\n",
         "x"},
        {"a body without a length", head + "\r\n", "x"},
        {"a chunk size", chunked, "0"},
        {"a chunk extension", chunked + "5;", "x"},
        {"an extension of the last chunk", chunked + "0;", "x"},
        {"a chunk", chunked + "E8D4A51000\r\n", "x"},
        {"chunks", chunked, "1\r\nx\r\n"},
        {"chunks with extensions", chunked, "1;" + extension + "\r\nx\r\n"},
        {"bytes after a chunk", chunked + "1\r\nx", "x"},
        {"a trailer name", last_chunk, "x"},
        {"a trailer value", last_chunk + "X: ", "x"},
        {"trailers", last_chunk, "X: x\r\n"},
    };
}

raw_reply to_reply(endless_response const& response)
{
    raw_reply reply;
    reply.bytes = response.before;
    reply.endless = response.unit;
    return reply;
}

} // namespace kumquatloom::unit_tests
