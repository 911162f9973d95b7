#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <review/stand_ins_2/received_bytes.hpp>

namespace kumquatloom::review
{

std::size_t unread_bytes(std::string const& host)
{
    in_addr address{};
    ::inet_pton(AF_INET, host.c_str(), &address);
    std::array<char, 16> wanted{};
    std::snprintf(wanted.data(), wanted.size(), "%08X:", address.s_addr);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::size_t sum = 0;
    std::getline(table, line);
    while (std::getline(table, line))
    {
        // The fields are: number, local address, remote address, state (01 is
        // an established connection), tx_queue:rx_queue.
        std::array<char, 32> local{};
        std::array<char, 32> remote{};
        unsigned state = 0;
        unsigned long transmitted = 0;
        unsigned long received = 0;
        if (std::sscanf(line.c_str(),
                        " %*[^:]: %31s %31s %x %lx:%lx",
                        local.data(),
                        remote.data(),
                        &state,
                        &transmitted,
                        &received) == 5 &&
            state != 10 &&
            std::string(local.data()).rfind(wanted.data(), 0) == 0)
            sum += received;
    }
    return sum;
}

} // namespace kumquatloom::review
