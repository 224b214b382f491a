// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// portpaddlectl: the command-line tool for operators.

#include "ctl/commands.h"
#include "portpaddle/base/file.h"

#include <cstdlib>

#include <fmt/format.h>
#include <popt.h>

using namespace Portpaddle;

namespace {

constexpr const char *addressVariable = "PORTPADDLE_DAEMON";
constexpr const char *keyVariable = "PORTPADDLE_OPERATOR_KEY";

struct Options
{
    char *daemon = nullptr;
    char *keyFile = nullptr;
    char *author = nullptr;
    char *reason = nullptr;
    long long expectedVersion = -1;
    int limit = 50;
    int json = 0;
    int origin = 0;
    int help = 0;
};

std::string optionOrEnvironment(const char *value, const char *variable)
{
    if (value != nullptr) {
        return value;
    }
    const char *fromEnvironment = std::getenv(variable);
    return fromEnvironment == nullptr ? "" : fromEnvironment;
}

int usageError(const std::string &message)
{
    fmt::print(stderr, "portpaddlectl: {}\n", message);
    return static_cast<int>(ExitCode::Usage);
}

void printHelp(poptContext context)
{
    poptPrintHelp(context, stdout, 0);
    fmt::print("\nCommands:\n");
    for (const CommandDescription &command : commandCatalogue()) {
        fmt::print("  {:<30}{}\n", command.usage, command.meaning);
    }
    fmt::print("\nEnvironment:\n  {:<30}operator address of the daemon, unless --daemon is given\n  {:<30}operator key, "
               "unless --key-file is given\n",
               addressVariable, keyVariable);
    fmt::print("\nExit codes: 0 success, 1 refused, 2 usage error, 3 VM unreachable, 4 version conflict, 5 not found, 6 settings "
               "invalid\n");
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    const poptOption table[]
        = { { "daemon", 'd', POPT_ARG_STRING, &options.daemon, 0, "operator address of any daemon", "HOST:PORT" },
            { "key-file", 'k', POPT_ARG_STRING, &options.keyFile, 0, "file with the operator key", "FILE" },
            { "json", 'j', POPT_ARG_NONE, &options.json, 0, "print JSON", nullptr },
            { "origin", 'o', POPT_ARG_NONE, &options.origin, 0, "show which node and version set each value", nullptr },
            { "author", 'a', POPT_ARG_STRING, &options.author, 0, "author of a change, for the audit trail", "NAME" },
            { "reason", 'r', POPT_ARG_STRING, &options.reason, 0, "reason for a change, for the audit trail", "TEXT" },
            { "expected-version", 'e', POPT_ARG_LONGLONG, &options.expectedVersion, 0,
              "reject the change if the settings are at another version", "N" },
            { "limit", 'n', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.limit, 0, "maximum number of entries to list",
              "N" },
            { "help", 'h', POPT_ARG_NONE, &options.help, 0, "show this help", nullptr },
            POPT_TABLEEND };
    poptContext context = poptGetContext("portpaddlectl", argc, const_cast<const char **>(argv), table, 0);
    poptSetOtherOptionHelp(context, "[OPTION...] COMMAND [ARGUMENT...]");
    const int status = poptGetNextOpt(context);
    if (status < -1) {
        return usageError(fmt::format("{}: {}", poptBadOption(context, 0), poptStrerror(status)));
    }
    CommandLine line;
    for (const char *word = poptGetArg(context); word != nullptr; word = poptGetArg(context)) {
        line.words.emplace_back(word);
    }
    if (options.help != 0 || line.words.empty()) {
        printHelp(context);
        return options.help != 0 ? 0 : static_cast<int>(ExitCode::Usage);
    }
    line.json = options.json != 0;
    line.origin = options.origin != 0;
    line.author = options.author == nullptr ? "" : options.author;
    line.reason = options.reason == nullptr ? "" : options.reason;
    line.limit = options.limit > 0 ? static_cast<unsigned>(options.limit) : 0;
    if (options.expectedVersion >= 0) {
        line.expectedVersion = static_cast<std::uint64_t>(options.expectedVersion);
    }
    std::string key = optionOrEnvironment(nullptr, keyVariable);
    if (options.keyFile != nullptr) {
        const Result<std::string> read = readFile(options.keyFile);
        if (!isOk(read)) {
            return usageError(errorOf(read).message);
        }
        key = valueOf(read).substr(0, valueOf(read).find('\n'));
    }
    const std::string address = optionOrEnvironment(options.daemon, addressVariable);
    const Result<SocketAddress> parsed = parseSocketAddress(address.empty() ? "127.0.0.1:8081" : address);
    if (!isOk(parsed)) {
        return usageError(errorOf(parsed).message);
    }
    return static_cast<int>(runCommand(line, AdminClient(valueOf(parsed), key)));
}
