#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/commands.hpp>
#include <kumquatloom/log_service/receive_buffer.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace kumquatloom::cli
{

namespace
{

/// Timeout from connecting to the end of the response.
constexpr std::chrono::seconds request_timeout{5};

/// Maximum size of the response body.
constexpr std::size_t max_response_bytes = 1024 * 1024;

using http_response = http::response<http::string_body>;

/// Percent-encodes all characters except the unreserved ones of RFC 3986.
std::string percent_encoded(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    static constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string result;
    for (char const character : text)
    {
        if (unreserved.find(character) != std::string_view::npos)
        {
            result.push_back(character);
            continue;
        }
        auto const byte = static_cast<unsigned char>(character);
        result.push_back('%');
        result.push_back(digits[byte >> 4U]);
        result.push_back(digits[byte & 0xFU]);
    }
    return result;
}

/// Removes leading and trailing white space.
std::string trimmed(std::string const& text)
{
    static constexpr std::string_view whitespace = " \t\r\n";
    auto const first = text.find_first_not_of(whitespace);
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// Sends a request and waits for the response. Prints an error and returns
/// nothing on failure.
std::optional<http_response>
fetch(settings::endpoint const& instance,
      http::request<http::empty_body> const& request)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(request_timeout);
    log_service::receive_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    beast::error_code failure;

    // Use asynchronous operations, because the stream's timeout does not apply
    // to synchronous ones.
    auto const on_read = [&failure](beast::error_code error, std::size_t)
    {
        failure = error;
    };
    auto const on_write = [&](beast::error_code error, std::size_t)
    {
        failure = error;
        if (!error)
            http::async_read(stream, buffer, parser, on_read);
    };
    auto const on_connect = [&](beast::error_code error)
    {
        failure = error;
        if (!error)
            http::async_write(stream, request, on_write);
    };
    beast::error_code address_error;
    auto const address = asio::ip::make_address(instance.host, address_error);
    if (address_error)
        failure = address_error;
    else
    {
        stream.async_connect(asio::ip::tcp::endpoint(address, instance.port),
                             on_connect);
        context.run();
    }
    if (failure)
    {
        std::cerr << settings::to_string(instance) << ": " << failure.message()
                  << '\n';
        return std::nullopt;
    }
    return parser.release();
}

/// Returns a text member of a JSON object; "-" if it is missing.
std::string text_of(json::object const& object, std::string_view key)
{
    auto const* const value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
        return "-";
    return std::string(value->get_string());
}

/// Prints the entries as a table; returns false if the body is malformed.
bool print_table(std::string const& body)
{
    beast::error_code error;
    auto const parsed = json::parse(body, error);
    if (error || !parsed.is_object())
        return false;
    auto const* const entries = parsed.get_object().if_contains("entries");
    if (entries == nullptr || !entries->is_array())
        return false;
    std::cout << std::left << std::setw(24) << "ADDRESS" << std::setw(24)
              << "INSTANCE" << std::setw(20) << "FAILURE DOMAIN"
              << "REGION\n";
    for (auto const& item : entries->get_array())
    {
        if (!item.is_object())
            return false;
        auto const& entry = item.get_object();
        std::cout << std::setw(24) << text_of(entry, "address") << std::setw(24)
                  << text_of(entry, "instance") << std::setw(20)
                  << text_of(entry, "failure_domain")
                  << text_of(entry, "region") << '\n';
    }
    return true;
}

/// Builds the request for the list of entry instances.
http::request<http::empty_body> make_request(std::string const& host,
                                             std::string const& domain,
                                             std::string const& credential)
{
    std::string target = "/.kumquatloom/entries";
    if (!domain.empty())
        target += "?failure_domain=" + percent_encoded(domain);
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, host);
    request.set(http::field::authorization, "Bearer " + credential);
    request.set(http::field::connection, "close");
    return request;
}

} // namespace

int run_entries(std::vector<std::string> const& arguments)
{
    cxxopts::Options options("kumquatloom entries",
                             "Asks an instance for the entry instances that "
                             "callers should use, and prints them best first.");
    options.add_options()("instance",
                          "callers' address of an instance",
                          cxxopts::value<std::string>(),
                          "IP:PORT")("credential-file",
                                     "file with a caller's credential",
                                     cxxopts::value<std::string>(),
                                     "FILE")(
        "failure-domain",
        "failure domain of the caller (the instance's own by default)",
        cxxopts::value<std::string>(),
        "NAME")("json", "print the response as JSON");
    int status = exit_success;
    auto const parsed = parse_arguments(
        options,
        "kumquatloom entries --instance 127.0.0.1:8080 "
        "--credential-file credential.txt --failure-domain nbi-west",
        arguments,
        status);
    if (!parsed)
        return status;
    for (auto const* required : {"instance", "credential-file"})
        if (parsed->count(required) == 0)
        {
            std::cerr << "--" << required << " is missing\n\n"
                      << options.help();
            return exit_usage;
        }
    auto const instance = (*parsed)["instance"].as<std::string>();
    auto const address = settings::parse_endpoint(instance);
    if (!address)
    {
        std::cerr << "--instance " << instance << " is not IP:PORT\n";
        return exit_usage;
    }
    auto const text = read_file((*parsed)["credential-file"].as<std::string>());
    if (!text)
        return exit_usage;
    auto const credential = trimmed(*text);
    if (credential.find_first_of("\r\n") != std::string::npos)
    {
        std::cerr << "the credential file has more than one line\n";
        return exit_usage;
    }
    auto const domain = parsed->count("failure-domain") == 0
                            ? std::string()
                            : (*parsed)["failure-domain"].as<std::string>();
    auto const response =
        fetch(*address, make_request(instance, domain, credential));
    if (!response)
        return exit_failure;
    if (response->result() != http::status::ok)
    {
        std::cerr << instance << ": status " << response->result_int() << ' '
                  << response->body() << '\n';
        return exit_failure;
    }
    if (parsed->count("json") != 0)
        std::cout << response->body() << '\n';
    else if (!print_table(response->body()))
    {
        std::cerr << instance << ": the response is malformed\n";
        return exit_failure;
    }
    return exit_success;
}

} // namespace kumquatloom::cli
