#ifndef KUMQUATLOOM_UNIT_TESTS_DOCUMENT_FLEET_FIXTURE_HPP
#define KUMQUATLOOM_UNIT_TESTS_DOCUMENT_FLEET_FIXTURE_HPP

#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/document/document_reducer.hpp>
#include <kumquatloom/document/log_record.hpp>
#include <kumquatloom/document/signing_key.hpp>

#include <map>
#include <string>

namespace kumquatloom::document::testing
{

/// A deterministic signing key for an owner.
inline signing_key key_of(std::string const& owner)
{
    return *signing_key::from_bytes(
        core::as_bytes(core::sha256("key of " + owner)));
}

inline std::string public_hex(std::string const& owner)
{
    return core::to_hex(key_of(owner).public_bytes());
}

/// A section with one service, one organisation and one route, all named after
/// the section.
inline std::string section_text(std::string const& name,
                                std::string const& owner,
                                unsigned limit = 10)
{
    return R"({"owner":")" + owner + R"(","services":{")" + name +
           R"(":{"expected_upstreams":30,"floor":0.7,"slots":6}},)"
           R"("organisations":{"org-)" +
           name + R"(":{"credential_sha256_hex":[")" +
           core::to_hex(core::as_bytes(core::sha256(name))) +
           R"("]}},"routes":[{"prefix":"/)" + name + R"(","service":")" + name +
           R"(","organisations":["org-)" + name + R"("],"limit_per_s":)" +
           std::to_string(limit) + "}]}";
}

inline std::string owners_text()
{
    std::string text = "{";
    for (std::string const owner : {"platform", "a-team", "b-team"})
        text += (text.size() > 1 ? ",\"" : "\"") + owner +
                R"(":{"public_key_hex":")" + public_hex(owner) + "\"}";
    return text + "}";
}

/// A document with the sections a and b, owned by two teams.
inline std::string initial_document()
{
    return R"({"owners":)" + owners_text() + R"(,"sections":{"a":)" +
           section_text("a", "a-team") + R"(,"b":)" +
           section_text("b", "b-team") +
           R"(},"fleet":{"expected_entry_instances":{"nairobi":24}}})";
}

/// An edit that is signed by its author.
inline edit_record signed_edit(std::string const& id,
                               std::string const& section,
                               core::log_offset base,
                               std::string const& author,
                               std::string const& content)
{
    edit_record record{id, section, base, author, content, {}};
    record.signature = key_of(author).sign(record.signed_bytes());
    return record;
}

inline edit_record genesis()
{
    return signed_edit(
        "genesis", whole_document, 0, platform_owner, initial_document());
}

/// A minimal ejection ledger that only records which slots are taken, for tests
/// of the reducer.
class fake_ledger
{
public:
    bool apply(eject_record const& record, core::log_offset, unsigned budget)
    {
        return record.slot < budget &&
               taken_.emplace(key(record), record.upstream.value()).second;
    }

    bool apply(readmit_record const& record, core::log_offset, unsigned)
    {
        return taken_.erase(key(record)) > 0;
    }

    std::string serialise() const
    {
        std::string bytes;
        for (auto const& [slot, upstream] : taken_)
            bytes += slot + '=' + upstream + '\n';
        return bytes;
    }

    bool restore(std::string_view bytes)
    {
        taken_.clear();
        while (!bytes.empty())
        {
            auto const end = bytes.find('\n');
            auto const middle = bytes.find('=');
            taken_.emplace(bytes.substr(0, middle),
                           bytes.substr(middle + 1, end - middle - 1));
            bytes.remove_prefix(end + 1);
        }
        return true;
    }

private:
    template <typename Record>
    static std::string key(Record const& record)
    {
        return record.service.value() + '/' + std::to_string(record.slot);
    }

    std::map<std::string, std::string> taken_;
};

} // namespace kumquatloom::document::testing

#endif
