#include <kumquatloom/cli/blocking.hpp>
#include <kumquatloom/document/log_record.hpp>
#include <kumquatloom/log_service/instance_list_client.hpp>
#include <kumquatloom/log_service/log_client.hpp>

#include <catch2/catch.hpp>

#include <semaphore>
#include <unit_tests/log_service/test_server.hpp>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::log_service;
using namespace kumquatloom::log_service::testing;
using namespace std::chrono_literals;
using cli::run_blocking;

test_server::handler reply_with(test_reply reply)
{
    return [reply](test_request const&)
    {
        return reply;
    };
}

append_error append_error_for(test_reply const& reply)
{
    test_server server(reply_with(reply));
    return run_blocking(log_client(server.address()).append("x")).error();
}

read_error read_error_for(test_reply const& reply, std::size_t max_body = 1000)
{
    test_server server(reply_with(reply));
    http_client_settings const bounds{2000ms, max_body};
    auto const client = log_client(server.address(), bounds);
    return run_blocking(client.read(4, 2)).error();
}

std::string const half_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"offset\":";

} // namespace

// Guards against an append that is reported as failed although the record may
// be in the log, or as successful although it may not be.
TEST_CASE("appends return an offset or the reason for their failure")
{
    SECTION("a success returns the offset")
    {
        test_request request;
        {
            test_server server(
                [&](test_request const& received) -> test_reply
                {
                    request = received;
                    return {200, R"({"offset":7})", false, {}};
                });
            log_client const client(server.address());
            CHECK(run_blocking(client.append("a \"text\"")).value() == 7);
        }
        CHECK(request.is_post);
        CHECK(request.target == "/log/records");
        CHECK(request.body == R"({"data":"a \"text\""})");
    }

    SECTION("status 201 is a success")
    {
        test_server server(reply_with({201, R"({"offset":7})", false, {}}));
        log_client const client(server.address());
        CHECK(run_blocking(client.append("x")).value() == 7);
    }

    SECTION("a rejection reports that nothing was appended")
    {
        CHECK(append_error_for({429, "", false, {}}) ==
              append_error::rate_limited);
        CHECK(append_error_for({503, "", false, {}}) == append_error::outage);
        CHECK(append_error_for({400, "", false, {}}) == append_error::refused);
        settings::endpoint unused_address;
        {
            test_server const server(reply_with({}));
            unused_address = server.address();
        }
        CHECK(run_blocking(log_client(unused_address).append("x")).error() ==
              append_error::unreachable);
    }

    SECTION("a lost or damaged response is an unknown outcome")
    {
        CHECK(append_error_for({200, "", true, {}}) == append_error::unknown);
        CHECK(append_error_for({200, "", false, half_response}) ==
              append_error::unknown);
        CHECK(append_error_for({200, "{}", false, {}}) ==
              append_error::unknown);
        CHECK(append_error_for({200, "", false, "garbage\r\n\r\n"}) ==
              append_error::unknown);
        CHECK(append_error_for({500, "", false, {}}) == append_error::unknown);
    }

    SECTION("an append with an unknown outcome is found by its id")
    {
        document::readmit_record const record{
            "wanted", core::service_name("s"), core::upstream_id("u"), 0};
        std::vector<std::string> records(250, "other");
        records[230] = document::to_text(record);
        test_server server(
            [&](test_request const& request) -> test_reply
            {
                std::string body;
                auto const from = request.number("from");
                for (auto offset = from;
                     offset < std::min<std::uint64_t>(
                                  from + request.number("max"), records.size());
                     ++offset)
                {
                    std::string data;
                    for (char const character : records[offset])
                        data += (character == '"' ? "\\" : "") +
                                std::string(1, character);
                    body += (body.empty() ? "" : ",") + std::string() +
                            "{\"offset\":" + std::to_string(offset) +
                            ",\"data\":\"" + data + "\"}";
                }
                return {200,
                        R"({"first":0,"next":250,"records":[)" + body + "]}",
                        false,
                        {}};
            });
        log_client const client(server.address());
        CHECK(run_blocking(client.find("wanted", 5)).value() == 230U);
        CHECK_FALSE(run_blocking(client.find("absent", 5)).value());
    }
}

// Guards against accepting damaged pages of the log.
TEST_CASE("reads of the log return a valid page or an error")
{
    SECTION("a page is parsed")
    {
        auto const page = parse_log_page(
            R"({"first":2,"next":9,"records":[{"offset":4,"data":"x"}]})",
            4,
            2);
        REQUIRE(page);
        CHECK(page->first == 2);
        CHECK(page->next == 9);
        CHECK(page->records == std::vector<document::log_entry>{{4, "x"}});
    }

    SECTION("a page that does not match the read is rejected")
    {
        for (std::string const text :
             {R"({"first":2,"next":9,"records":[{"offset":5,"data":"x"}]})",
              R"({"first":2,"next":4,"records":[{"offset":4,"data":"x"}]})",
              R"({"first":9,"next":2,"records":[]})",
              R"({"first":0,"next":9})",
              R"({"first":0,"next":9,"records":[{"offset":4}]})",
              R"({"first":0,"next":9,"records":[{"offset":4,"data":"a"},)"
              R"({"offset":6,"data":"b"}]})"})
            CHECK_FALSE(parse_log_page(text, 4, 2));
    }

    SECTION("HTTP errors are mapped to read errors")
    {
        CHECK(read_error_for({410, "", false, {}}) ==
              read_error::retention_cut);
        CHECK(read_error_for({429, "", false, {}}) == read_error::rate_limited);
        CHECK(read_error_for({503, "", false, {}}) == read_error::outage);
        CHECK(read_error_for({200, "", true, {}}) == read_error::unreachable);
        CHECK(read_error_for({200, "", false, half_response}) ==
              read_error::unreachable);
        CHECK(read_error_for({200, "[]", false, {}}) == read_error::malformed);
    }

    SECTION("a request to a hung server times out")
    {
        // The handler blocks the server until the client has timed out.
        std::binary_semaphore client_timed_out(0);
        test_server server(
            [&](test_request const&) -> test_reply
            {
                client_timed_out.acquire();
                return {};
            });
        http_client const client(server.address(), {500ms, 1000});
        auto const result = run_blocking(client.fetch("/"));
        client_timed_out.release();
        CHECK(result.error() == http_error::timed_out);
    }

    SECTION("a response above the size limit is rejected")
    {
        test_server server(
            reply_with({200, std::string(1001, 'x'), false, {}}));
        http_client const client(server.address(), {2000ms, 1000});
        CHECK(run_blocking(client.fetch("/")).error() == http_error::too_large);
    }
}

// Guards against a damaged list that is mistaken for one from which instances
// have been removed.
TEST_CASE("reads of the instance list return a valid list or an error")
{
    std::string const entry =
        R"({"id":"e","kind":"entry","host":"127.0.0.1","port":1,)"
        R"("peer_port":2,"failure_domain":"d","region":"r","state":"live"})";
    std::string const upstream =
        R"({"id":"u","kind":"upstream","service":"s","host":"127.0.0.1",)"
        R"("port":3,"failure_domain":"d","region":"r","state":"leaving"})";
    auto const list_of = [](std::string const& instances)
    {
        return "{\"instances\":[" + instances + "]}";
    };

    SECTION("a list may have live and leaving instances of both kinds")
    {
        test_server server(
            reply_with({200, list_of(entry + "," + upstream), false, {}}));
        auto const list =
            run_blocking(instance_list_client(server.address()).read());
        REQUIRE(list);
        REQUIRE(list.value().entries.size() == 1);
        CHECK(list.value().entries[0].peer_port == 2);
        CHECK_FALSE(list.value().entries[0].leaving);
        REQUIRE(list.value().upstreams.size() == 1);
        CHECK(list.value().upstreams[0].service.value() == "s");
        CHECK(list.value().upstreams[0].leaving);
    }

    SECTION("one malformed instance invalidates the whole list")
    {
        for (std::string const& bad :
             {std::string("{}"), entry + "," + entry, upstream + ",3"})
            CHECK_FALSE(parse_instance_list(list_of(bad)));
        auto invalid_state = entry;
        invalid_state.replace(invalid_state.find("live"), 4, "gone");
        CHECK_FALSE(parse_instance_list(list_of(invalid_state)));
        CHECK_FALSE(parse_instance_list("{\"instances\":{}}"));
    }

    SECTION("an outage is not an empty list")
    {
        test_server server(reply_with({503, list_of(""), false, {}}));
        CHECK(run_blocking(instance_list_client(server.address()).read())
                  .error() == read_error::outage);
    }
}
