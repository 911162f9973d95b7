#include <kumquatloom/cli/commands.hpp>
#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/edit_report.hpp>
#include <kumquatloom/document/log_record.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <unit_tests/document/fleet_fixture.hpp>
#include <unit_tests/log_service/test_server.hpp>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::document::testing;
using kumquatloom::log_service::testing::test_reply;
using kumquatloom::log_service::testing::test_request;
using kumquatloom::log_service::testing::test_server;

/// How the log treats the next append.
enum class append_mode
{
    normal,
    /// Appends the record, but the reply is lost.
    lose_reply,
    /// The record and the reply are lost.
    lose_both,
    outage
};

/// A log that keeps its records in memory.
class memory_log
{
public:
    std::string address() const
    {
        return settings::to_string(server_.address());
    }

    void append(document::log_record const& record)
    {
        std::lock_guard const lock(mutex_);
        records_.push_back(document::to_text(record));
    }

    void treat_appends(append_mode mode)
    {
        std::lock_guard const lock(mutex_);
        mode_ = mode;
    }

    std::size_t size() const
    {
        std::lock_guard const lock(mutex_);
        return records_.size();
    }

private:
    test_reply answer(test_request const& request)
    {
        std::lock_guard const lock(mutex_);
        if (request.is_post)
            return add(request.body);
        std::string records;
        auto const from = request.number("from");
        for (auto offset = from; offset < records_.size(); ++offset)
            records +=
                (records.empty() ? "{\"offset\":" : ",{\"offset\":") +
                std::to_string(offset) + ",\"data\":" +
                boost::json::serialize(boost::json::string(records_[offset])) +
                '}';
        return {200,
                "{\"first\":0,\"next\":" + std::to_string(records_.size()) +
                    ",\"records\":[" + records + "]}",
                false,
                {}};
    }

    test_reply add(std::string const& body)
    {
        if (mode_ == append_mode::outage)
            return {503, "", false, {}};
        if (mode_ == append_mode::lose_both)
            return {200, "", true, {}};
        core::fault_list faults;
        auto const value = core::parse_json(body, faults);
        core::json_reader reader(*value, "", faults);
        records_.push_back(reader.text("data", 1, 1000000));
        return {200,
                "{\"offset\":" + std::to_string(records_.size() - 1) + '}',
                mode_ == append_mode::lose_reply,
                {}};
    }

    mutable std::mutex mutex_;
    std::vector<std::string> records_;
    append_mode mode_ = append_mode::normal;
    test_server server_{[this](test_request const& request)
                        {
                            return answer(request);
                        }};
};

/// What a command printed, and its status.
struct command_result
{
    int status = 0;
    std::string out;
    std::string err;
};

command_result run(int (*command)(std::vector<std::string> const&),
                   std::vector<std::string> const& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    auto* const old_out = std::cout.rdbuf(out.rdbuf());
    auto* const old_err = std::cerr.rdbuf(err.rdbuf());
    auto const status = command(arguments);
    std::cout.rdbuf(old_out);
    std::cerr.rdbuf(old_err);
    return {status, out.str(), err.str()};
}

/// A folder of its own that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        auto pattern =
            (std::filesystem::temp_directory_path() / "kumquatloom-XXXXXX")
                .string();
        path_ = mkdtemp(pattern.data());
    }

    ~temporary_folder()
    {
        std::filesystem::remove_all(path_);
    }

    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::string write(std::string const& name, std::string const& text) const
    {
        std::ofstream(path(name)) << text;
        return path(name);
    }

    std::string path(std::string const& name) const
    {
        return path_ + '/' + name;
    }

private:
    std::string path_;
};

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against an operator who is told something else than what happened.
TEST_CASE("an operator edits the document through the log")
{
    temporary_folder const folder;
    memory_log log;
    auto const edit = [&](std::string const& section,
                          std::string const& author,
                          std::string const& text,
                          std::vector<std::string> const& more = {})
    {
        std::vector<std::string> arguments{
            "edit",
            "--log",
            log.address(),
            "--section",
            section,
            "--author",
            author,
            "--timeout-ms",
            "300",
            "--key",
            folder.write("key",
                         core::to_hex(key_of(author).private_bytes()) + "\n"),
            "--file",
            folder.write("section.json", text)};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return run(cli::run_document, arguments);
    };
    auto const created = edit("*", "platform", initial_document());
    REQUIRE(created.status == 0);
    CHECK(contains(created.out, "accepted"));

    SECTION("an accepted edit is shown and in the history")
    {
        auto const result =
            edit("a", "a-team", section_text("a", "a-team", 77));
        CHECK(result.status == 0);
        auto const shown =
            run(cli::run_document,
                {"show", "--log", log.address(), "--section", "a"});
        CHECK(contains(shown.out, "\"limit_per_s\":77"));
        auto const history =
            run(cli::run_document, {"history", "--log", log.address()});
        CHECK(contains(history.out, "a a-team accepted"));
    }

    SECTION("a conflict names both versions")
    {
        REQUIRE(edit("a", "a-team", section_text("a", "a-team", 1)).status ==
                0);
        auto const result = edit(
            "a", "a-team", section_text("a", "a-team", 2), {"--base", "0"});
        CHECK(result.status == 1);
        CHECK(contains(result.out, "from version 0"));
        CHECK(contains(result.out, "at version 1"));
        CHECK(log.size() == 2);
    }

    SECTION("a race that is lost after the local check is reported")
    {
        // Another operator's edit arrives between the read and the append.
        log.append(signed_edit(
            "other", "a", 0, "a-team", section_text("a", "a-team", 5)));
        log.append(signed_edit(
            "mine", "a", 0, "a-team", section_text("a", "a-team", 6)));
        auto const history =
            run(cli::run_document,
                {"history", "--log", log.address(), "--id", "mine"});
        CHECK(contains(history.out, "stale_base base 0 section version 1"));
    }

    SECTION("a lost reply is resolved by reading the log")
    {
        log.treat_appends(append_mode::lose_reply);
        auto const result = edit("a", "a-team", section_text("a", "a-team", 9));
        CHECK(result.status == 0);
        CHECK(log.size() == 2);
    }

    SECTION("a record that does not appear is unknown, not rejected")
    {
        log.treat_appends(append_mode::lose_both);
        auto const result = edit("a", "a-team", section_text("a", "a-team", 9));
        CHECK(result.status == 3);
        CHECK(contains(result.out, "document history --log IP:PORT --id"));
    }

    SECTION("an outage appends nothing and says so")
    {
        log.treat_appends(append_mode::outage);
        auto const result = edit("a", "a-team", section_text("a", "a-team", 9));
        CHECK(result.status == 1);
        CHECK(contains(result.out, "nothing was appended"));
    }

    SECTION("publish names the instances that lag")
    {
        auto const instance = [](std::string const& name, unsigned version)
        {
            return [=](test_request const&) -> test_reply
            {
                return {200,
                        "{\"instance\":{\"id\":\"" + name +
                            "\"},\"document_version\":" +
                            std::to_string(version) + "}",
                        false,
                        {}};
            };
        };
        test_server const ahead(instance("entry-1", 1));
        test_server const behind(instance("entry-2", 0));
        auto const result = run(cli::run_document,
                                {"publish",
                                 "--version",
                                 "1",
                                 "--timeout-ms",
                                 "1",
                                 "--operators",
                                 settings::to_string(ahead.address()),
                                 "--operators",
                                 settings::to_string(behind.address())});
        CHECK(result.status == 1);
        CHECK(contains(result.out, "in force on 1 of 2"));
        CHECK(contains(result.out, "not in force on entry-2"));
        CHECK_FALSE(contains(result.out, "on entry-1"));
    }
}

// Guards against an instance's answer that is misread.
TEST_CASE("an operator edits the document through an instance")
{
    temporary_folder const folder;
    enum class instance_mode
    {
        reduces,
        reports_another_edit,
        loses_reply
    };
    auto mode = instance_mode::reduces;
    document::document_reducer reducer({},
                                       document::make_null_ejection_reducer());
    reducer.reduce({0, document::to_text(genesis())});
    test_server const instance(
        [&](test_request const& request) -> test_reply
        {
            auto const& current = reducer.state().document;
            if (!request.is_post)
                return {200,
                        "{\"version\":" + std::to_string(current.version) +
                            ",\"document\":" + document::to_text(current) + '}',
                        false,
                        {}};
            core::fault_list faults;
            auto const record = document::parse_record(request.body, faults);
            auto const id = std::get<document::edit_record>(*record).id;
            reducer.reduce({reducer.state().next, request.body});
            auto report = document::report_of(*reducer.find_outcome(id));
            if (mode == instance_mode::reports_another_edit)
                report.id = "another";
            return {200,
                    document::to_text(report),
                    mode == instance_mode::loses_reply,
                    {}};
        });
    auto const address = settings::to_string(instance.address());
    auto const edit = [&](std::string const& owner)
    {
        return run(
            cli::run_document,
            {"edit",
             "--operators",
             address,
             "--section",
             "a",
             "--author",
             owner,
             "--key",
             folder.write("key", core::to_hex(key_of(owner).private_bytes())),
             "--file",
             folder.write("a.json", section_text("a", "a-team", 42))});
    };

    SECTION("the decision is printed, and the section is shown")
    {
        CHECK(edit("a-team").status == 0);
        auto const refused = edit("b-team");
        CHECK(refused.status == 1);
        CHECK(contains(refused.out, "not_owner"));
        auto const shown =
            run(cli::run_document,
                {"show", "--operators", address, "--section", "a"});
        CHECK(shown.status == 0);
        CHECK(contains(shown.out, "\"limit_per_s\":42"));
    }

    SECTION("a lost reply or one about another edit is unknown")
    {
        mode = instance_mode::reports_another_edit;
        CHECK(edit("a-team").status == 3);
        mode = instance_mode::loses_reply;
        CHECK(edit("a-team").status == 3);
    }
}

// Guards against a key that others can read or that is overwritten.
TEST_CASE("an owner makes a key pair")
{
    temporary_folder const folder;
    auto const path = folder.path("team.key");
    auto const made = run(cli::run_document, {"keygen", "--key", path});
    REQUIRE(made.status == 0);
    using std::filesystem::perms;
    CHECK((std::filesystem::status(path).permissions() &
           (perms::group_all | perms::others_all)) == perms::none);
    CHECK(run(cli::run_document, {"keygen", "--key", path}).status == 1);
}

// Guards against a document whose faults are found one at a time.
TEST_CASE("an operator checks a document before it is sent")
{
    temporary_folder const folder;
    auto const check = [&](std::string const& text)
    {
        return run(cli::run_check,
                   {"--document", folder.write("document.json", text)});
    };
    CHECK(check(initial_document()).status == 0);

    auto text = initial_document();
    text.replace(text.find("\"slots\":6"), 9, "\"slots\":0");
    text.replace(text.find("\"owner\":\"b-team\""), 16, "\"owner\":\"c-team\"");
    text.replace(text.find("\"organisations\":[\"org-a\"]"),
                 25,
                 "\"organisations\":[\"org-x\"]");
    auto const result = check(text);
    CHECK(result.status == 2);
    CHECK(contains(result.err, "/sections/a/services/a/slots"));
    CHECK(contains(result.err, "/sections/b/owner"));
    CHECK(contains(result.err, "/sections/a/routes/0/organisations/0"));
}
