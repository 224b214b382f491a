// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Tells another daemon under which version of the operator's configuration a request was accepted.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

/// A version of the configuration and a daemon that has it.
struct ConfigurationStamp
{
    std::uint64_t version = 0;
    /// Id of the daemon.
    std::string daemon;
};

/// Between daemons. On a request: the version under which the sender accepted it. On a refusal: that of the answering daemon,
/// which is older.
inline constexpr const char *configurationHeader = "X-Portpaddle-Configuration";

std::string encodeConfigurationStamp(const ConfigurationStamp &stamp);
/// Parses a header value; returns no value if @p text is invalid.
std::optional<ConfigurationStamp> decodeConfigurationStamp(std::string_view text);

} // namespace Portpaddle
