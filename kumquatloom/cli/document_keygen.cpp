#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/document_options.hpp>
#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/document/signing_key.hpp>

#include <cxxopts.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <sys/stat.h>
#include <unistd.h>

namespace kumquatloom::cli
{

namespace
{

/// Creates a file. Prints an error and returns false if the file exists or
/// cannot be written.
bool write_new_file(std::string const& path,
                    std::string const& text,
                    mode_t mode)
{
    int const file = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL, mode);
    if (file < 0)
    {
        std::cerr << path << ": cannot be created: " << std::strerror(errno)
                  << '\n';
        return false;
    }
    auto const written = write(file, text.data(), text.size());
    bool const is_complete =
        close(file) == 0 && written == static_cast<ssize_t>(text.size());
    if (!is_complete)
        std::cerr << path << ": cannot be written: " << std::strerror(errno)
                  << '\n';
    return is_complete;
}

} // namespace

int run_document_keygen(std::vector<std::string> const& arguments)
{
    cxxopts::Options options(
        "kumquatloom document keygen",
        "Writes a new Ed25519 key pair as FILE, which only its owner can read, "
        "and FILE.public. Existing files are kept.");
    options.add_options()(
        "key", "the private key's file", cxxopts::value<std::string>(), "FILE");
    int status = exit_success;
    auto const parsed =
        parse_arguments(options,
                        "kumquatloom document keygen --key shop-team.key",
                        arguments,
                        status);
    if (!parsed)
        return status;
    auto const path = required_text(*parsed, "key");
    if (!path)
        return exit_usage;
    auto const key = document::signing_key::generate();
    auto const public_hex = core::to_hex(key.public_bytes());
    constexpr mode_t private_mode = S_IRUSR | S_IWUSR;
    constexpr mode_t public_mode = private_mode | S_IRGRP | S_IROTH;
    bool const is_complete =
        write_new_file(
            *path, core::to_hex(key.private_bytes()) + '\n', private_mode) &&
        write_new_file(*path + ".public", public_hex + '\n', public_mode);
    if (!is_complete)
        return exit_failure;
    std::cout << "{\"public_key_hex\":\"" << public_hex << "\"}\n";
    return exit_success;
}

} // namespace kumquatloom::cli
