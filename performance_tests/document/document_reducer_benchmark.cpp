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

// The document's design size: 2,100 services, 640,000 organisations and 61,000
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

/// Content of a section; `limit` distinguishes its versions.
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
    // mallinfo2 counts large, memory-mapped blocks separately.
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// A reducer with a generated document of the design size.
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
        document_bytes_ = allocated_bytes() - before;
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

    std::size_t document_bytes() const
    {
        return document_bytes_;
    }

private:
    signing_key key_ = signing_key::generate();
    std::unique_ptr<document_reducer> reducer_;
    std::size_t document_bytes_ = 0;
};

generated_document& generated()
{
    static generated_document document;
    return document;
}

/// Measures the reduction of one edit of a section: parsing, signature check,
/// validation against the whole document, and the index.
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
        static_cast<double>(document.document_bytes()) / mebibyte;
    state.counters["counted_MiB"] =
        static_cast<double>(document.reducer().memory_bytes()) / mebibyte;
}
BENCHMARK(reduce_section_edit)->Unit(benchmark::kMillisecond);

/// Measures the digest of the state, which is computed at every checkpoint.
void digest_state(benchmark::State& state)
{
    auto& document = generated();
    for (auto _ : state)
        benchmark::DoNotOptimize(digest_of(document.reducer().state(), {}));
}
BENCHMARK(digest_state)->Unit(benchmark::kMillisecond);

/// Measures the serialization of the whole state, and its size.
void write_snapshot(benchmark::State& state)
{
    auto& document = generated();
    std::size_t size = 0;
    for (auto _ : state)
        size = to_text(document.reducer().snapshot()).size();
    state.counters["bytes"] = static_cast<double>(size);
}
BENCHMARK(write_snapshot)->Unit(benchmark::kMillisecond);

/// Measures parsing and validation of a whole snapshot, as at the start of an
/// instance.
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
