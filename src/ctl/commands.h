// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The commands of portpaddlectl.
#pragma once

#include "ctl/admin_client.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Portpaddle {

/// Exit codes that scripts can rely on.
enum class ExitCode : int {
    Success = 0,
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
    Conflict = 4,
    NotFound = 5,
    Invalid = 6,
};

/// The parsed command line: the words of the command with its arguments, and the options.
struct CommandLine
{
    std::vector<std::string> words;
    bool json = false;
    bool origin = false;
    std::string author;
    std::string reason;
    std::optional<std::uint64_t> expectedVersion;
    unsigned limit = 50;
};

/// A command as the help and the reference page list it.
struct CommandDescription
{
    std::string_view usage;
    std::string_view meaning;
};

/// Returns all commands in the order of the help.
std::span<const CommandDescription> commandCatalogue();
/// Runs one command and prints its result, or the error on standard error.
ExitCode runCommand(const CommandLine &line, const AdminClient &client);

} // namespace Portpaddle
