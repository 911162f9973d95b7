#include <kumquatloom/admission/admission_gate.hpp>

#include <benchmark/benchmark.h>

#include <array>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;

/// Sizes of the largest fleet (section 1.3 of the design).
constexpr int organisation_count = 640000;
constexpr int route_count = 61000;
constexpr int organisations_per_route = 20;

std::string organisation(int number)
{
    return "organisation-" + std::to_string(number);
}

std::string path(int number)
{
    return "/section-" + std::to_string(number % 500) + "/route-" +
           std::to_string(number);
}

document::document largest_document()
{
    document::document source;
    source.services[core::service_name("storefront")];
    for (int i = 0; i < organisation_count; ++i)
        source.organisations[core::organisation_name(organisation(i))]
            .credentials.push_back(
                core::sha256("secret-of-" + organisation(i)));
    for (int i = 0; i < route_count; ++i)
    {
        document::route_settings route;
        route.prefix = path(i);
        route.service = core::service_name("storefront");
        for (int j = 0; j < organisations_per_route; ++j)
            route.organisations.emplace_back(organisation(
                (i * organisations_per_route + j) % organisation_count));
        source.routes.push_back(std::move(route));
    }
    return source;
}

/// A gate with the largest document, shared by all threads. The document itself
/// is not kept.
admission::admission_gate& largest_gate()
{
    static admission::admission_gate gate({}, core::region("nairobi"));
    static bool const published = (gate.publish(largest_document()), true);
    static_cast<void>(published);
    return gate;
}

/// Measures the admission of requests of different organisations to different
/// routes.
void admit(benchmark::State& state)
{
    auto& gate = largest_gate();
    auto const table = gate.table();
    std::vector<std::pair<std::string, std::string>> requests;
    for (int i = 0; i < 4096; ++i)
    {
        int const route = i * 14639 % route_count;
        int const organisation_number =
            route * organisations_per_route % organisation_count;
        requests.emplace_back(path(route) + "/items/17?page=2",
                              "Bearer secret-of-" +
                                  organisation(organisation_number));
    }
    std::size_t next = 0;
    for (auto _ : state)
    {
        auto const& [target, authorization] = requests[next++ % 4096];
        std::array<admission::header_field, 6> const fields = {
            {{"Host", "shop.example"},
             {"User-Agent", "benchmark"},
             {"Accept", "*/*"},
             {"Authorization", authorization},
             {"Kumquatloom-Deadline-Ms", "500"},
             {"Connection", "keep-alive"}}};
        admission::request_header_view header;
        header.method = "GET";
        header.target = target;
        header.fields = fields;
        auto const result = gate.admit(header, core::time_point());
        if (!result)
            state.SkipWithError("a request was refused");
        benchmark::DoNotOptimize(result);
    }
    state.counters["organisations_bytes"] =
        benchmark::Counter(static_cast<double>(table->organisations().memory()),
                           benchmark::Counter::kAvgThreads);
    state.counters["routes_bytes"] =
        benchmark::Counter(static_cast<double>(table->routes().memory()),
                           benchmark::Counter::kAvgThreads);
}

/// Measures building the table of the largest document. An instance builds a
/// new table after each change of its document.
void build_table(benchmark::State& state)
{
    auto const source = largest_document();
    for (auto _ : state)
    {
        admission::admission_table const table(source, core::region("nairobi"));
        benchmark::DoNotOptimize(table.routes().size());
    }
}

BENCHMARK(admit)->Threads(1)->Threads(4);
BENCHMARK(build_table)->Unit(benchmark::kMillisecond);

} // namespace
