#include <kumquatloom/request/ticket_issuer.hpp>
#include <kumquatloom/request/ticket_table.hpp>

#include <benchmark/benchmark.h>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::request;

/// Claims and finishes each ticket once, on several threads.
void claim_and_finish(benchmark::State& state)
{
    static ticket_table table{ticket_table_settings{}};
    static std::atomic<std::uint64_t> next{0};
    for (auto _ : state)
    {
        auto const sequence = next.fetch_add(1, std::memory_order_relaxed) + 1;
        if (table.claim(sequence) == ticket_state::unused)
            table.finish(sequence);
    }
}

/// Issues a ticket as text, then parses and verifies it. In production these
/// are two requests.
void issue_and_verify(benchmark::State& state)
{
    ticket_keys const keys({{1, "0123456789abcdef"}});
    ticket_issuer issuer(core::instance_id("entry-1"), 1, keys);
    core::organisation_name const name("toystall");
    for (auto _ : state)
    {
        auto const text = to_text(issuer.issue(name));
        auto const proof = keys.verify(*parse_ticket(text));
        benchmark::DoNotOptimize(proof);
    }
}

BENCHMARK(claim_and_finish)->Threads(1)->Threads(4);
BENCHMARK(issue_and_verify);

} // namespace
