#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/document/document_reducer.hpp>
#include <kumquatloom/document/signing_key.hpp>

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <memory>
#include <string>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::document;

// The size to design for: 2,100 services, 640,000 organisations and 61,000
// routes. Each service has a section of its own, and each organisation of a
// section is on one of its routes.
constexpr std::size_t section_count = 2100;
constexpr std::size_t organisations_per_section = 305;
constexpr std::size_t routes_per_section = 29;

std::string section_name(std::size_t number)
{
    return "service-" + std::to_string(number);
}

std::string organisation_name(std::size_t section, std::size_t number)
{
    return "organisation-" + std::to_string(section) + '-' +
           std::to_string(number);
}

/// A section as a team writes it; `limit` makes versions differ.
std::string section_text(std::size_t number, std::size_t limit)
{
    std::string const name = section_name(number);
    std::string text =
        R"({"owner":"platform","services":{")" + name +
        R"(":{"expected_upstreams":30,"floor":0.7,"slots":6}},"organisations":{)";
    for (std::size_t i = 0; i < organisations_per_section; ++i)
    {
        auto const organisation = organisation_name(number, i);
        auto const digest = core::sha256(organisation);
        text += (i == 0 ? "\"" : ",\"") + organisation +
                R"(":{"credential_sha256_hex":[")" +
                core::to_hex(core::as_bytes(digest)) + "\"]}";
    }
    text += R"(},"routes":[)";
    for (std::size_t i = 0; i < routes_per_section; ++i)
    {
        text += i == 0 ? "" : ",";
        text += R"({"prefix":"/)" + name + "/route-" + std::to_string(i);
        text += R"(","service":")" + name + R"(","organisations":[)";
        bool first = true;
        for (std::size_t k = i; k < organisations_per_section;
             k += routes_per_section)
        {
            text += (first ? "\"" : ",\"") + organisation_name(number, k) + '"';
            first = false;
        }
        text += R"(],"limit_per_s":)" + std::to_string(limit) + '}';
    }
    return text + "]}";
}

std::size_t allocated_bytes()
{
    // Large blocks are counted apart.
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// A reducer that holds the generated document.
class generated_document
{
public:
    generated_document()
    {
        auto const before = allocated_bytes();
        reducer_ = std::make_unique<document_reducer>(
            document_reducer_settings{}, make_null_ejection_reducer());
        auto const public_key = core::to_hex(key_.public_bytes());
        append(whole_document,
               R"({"owners":{"platform":{"public_key_hex":")" + public_key +
                   "\"}}}");
        for (std::size_t i = 0; i < section_count; ++i)
            append(section_name(i), section_text(i, 1));
        malloc_trim(0);
        allocated_ = allocated_bytes() - before;
    }

    log_entry entry(std::string const& section, std::string content)
    {
        edit_record edit;
        edit.id = random_record_id();
        edit.section = section;
        edit.base = reducer_->state().document.version;
        edit.author = platform_owner;
        edit.content = std::move(content);
        edit.signature = key_.sign(edit.signed_bytes());
        return {reducer_->state().next, to_text(edit)};
    }

    void append(std::string const& section, std::string content)
    {
        if (reducer_->reduce(entry(section, std::move(content))) !=
            record_effect::edit_accepted)
            std::abort();
    }

    document_reducer& reducer()
    {
        return *reducer_;
    }

    std::size_t allocated() const
    {
        return allocated_;
    }

private:
    signing_key key_ = signing_key::generate();
    std::unique_ptr<document_reducer> reducer_;
    std::size_t allocated_ = 0;
};

generated_document& generated()
{
    static generated_document document;
    return document;
}

/// Reducing one edit of a section: parsing, signature, checks against the
/// whole document, index.
void reduce_section_edit(benchmark::State& state)
{
    auto& document = generated();
    std::size_t limit = 2;
    for (auto _ : state)
    {
        state.PauseTiming();
        ++limit;
        auto const number = limit * 37 % section_count;
        auto const entry =
            document.entry(section_name(number), section_text(number, limit));
        state.ResumeTiming();
        if (document.reducer().reduce(entry) != record_effect::edit_accepted)
            state.SkipWithError("the edit was refused");
    }
    constexpr double mebibyte = 1024.0 * 1024.0;
    state.counters["allocated_MiB"] =
        static_cast<double>(document.allocated()) / mebibyte;
    state.counters["counted_MiB"] =
        static_cast<double>(document.reducer().memory_bytes()) / mebibyte;
}
BENCHMARK(reduce_section_edit)->Unit(benchmark::kMillisecond);

/// Digest of the state, which is computed at every checkpoint.
void digest_state(benchmark::State& state)
{
    auto& document = generated();
    for (auto _ : state)
        benchmark::DoNotOptimize(digest_of(document.reducer().state(), {}));
}
BENCHMARK(digest_state)->Unit(benchmark::kMillisecond);

/// The whole state as text, and its size.
void write_snapshot(benchmark::State& state)
{
    auto& document = generated();
    std::size_t size = 0;
    for (auto _ : state)
        size = to_text(document.reducer().snapshot()).size();
    state.counters["bytes"] = static_cast<double>(size);
}
BENCHMARK(write_snapshot)->Unit(benchmark::kMillisecond);

/// Parsing and checking the whole state, as a newcomer does.
void parse_whole_snapshot(benchmark::State& state)
{
    auto const text = to_text(generated().reducer().snapshot());
    for (auto _ : state)
    {
        core::fault_list faults;
        if (!parse_snapshot(text, faults))
            state.SkipWithError("the snapshot was refused");
    }
}
BENCHMARK(parse_whole_snapshot)->Unit(benchmark::kMillisecond);

} // namespace
