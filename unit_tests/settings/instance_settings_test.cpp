#include <kumquatloom/settings/instance_settings.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace kumquatloom;

/// Returns the default settings with one text replaced.
std::string defaults_with(std::string const& from, std::string const& to)
{
    std::string text = settings::default_settings_text();
    text.replace(text.find(from), from.size(), to);
    return text;
}

core::fault_list faults_of(std::string const& text)
{
    core::fault_list faults;
    settings::parse_instance_settings(text, faults);
    return faults;
}

} // namespace

// Guards against an instance that starts with settings that are misread or
// incomplete.
TEST_CASE("the settings of an instance are parsed and checked")
{
    SECTION("the default settings have no faults")
    {
        CHECK(faults_of(settings::default_settings_text()).empty());
    }

    SECTION("a misspelt key is reported with its JSON pointer")
    {
        auto const faults =
            faults_of(defaults_with("\"poll_ms\"", "\"poll_msec\""));
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].pointer == "/platform/poll_msec");
    }

    SECTION("two listeners on one address are reported")
    {
        auto const faults =
            faults_of(defaults_with("127.0.0.1:8081", "127.0.0.1:8080"));
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].pointer == "/listen/operators");
    }

    SECTION("a wait for memory beyond the header timeout is reported")
    {
        std::string const wait = "\"memory_wait_ms\": ";
        CHECK(faults_of(defaults_with(wait + "1000", wait + "5000")).empty());
        auto const faults =
            faults_of(defaults_with(wait + "1000", wait + "5001"));
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].pointer == "/callers/memory_wait_ms");
    }

    SECTION("a platform public key that is too short is reported")
    {
        auto const faults = faults_of(defaults_with(
            "\"seeds\": []",
            "\"seeds\": [], \"platform_public_key_hex\": \"00\""));
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].pointer == "/fleet/platform_public_key_hex");
    }

    SECTION("all faults are reported at once")
    {
        std::string text = defaults_with("\"threads\": 2", "\"threads\": 0");
        text.replace(text.find("127.0.0.1:9000"), 14, "somewhere");
        text.replace(text.find("16384"), 5, "\"big\"");
        text.replace(text.find("\"info\""), 6, "\"loud\"");
        text.replace(text.find("000102030405060708090a0b0c0d0e0f"), 32, "00");
        CHECK(faults_of(text).size() == 5);
    }
}
