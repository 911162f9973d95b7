#ifndef KUMQUATLOOM_REVIEW_STAND_INS_2_REQUEST_HPP
#define KUMQUATLOOM_REVIEW_STAND_INS_2_REQUEST_HPP

#include <atomic>
#include <cstdio>
#include <string>

namespace kumquatloom::review
{

/// A request id that no other request of this run has.
inline std::string next_request_id()
{
    static std::atomic<unsigned> number{0};
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0x5e000000U + ++number);
    return text;
}

/// The head of a request, without the blank line that ends it.
inline std::string request_head(std::string const& method,
                                std::string const& path,
                                std::string const& id,
                                unsigned deadline_ms)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
}

/// The rows of a safe route /read/ and an unsafe route /order/.
inline std::string const shop_routes =
    R"(["read","shop.example","/read/","safe",60,1.2,2,null,2,"shop"],)"
    R"(["order","shop.example","/order/","unsafe",60,1.2,1,null,2,"shop"])";

} // namespace kumquatloom::review

#endif
