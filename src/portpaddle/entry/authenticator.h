// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Finds the organisation behind a bearer key, also while the directory is away.
#pragma once

#include "portpaddle/base/error.h"

#include <mutex>
#include <string>
#include <unordered_map>

namespace Portpaddle {

class ClientDirectory;
class Clock;

/// Caches the directory's answers by the digest of the key; keys themselves are not kept.
class Authenticator
{
public:
    Authenticator(ClientDirectory &directory, const Clock &clock);

    /// The organisation that the Authorization header proves, or Unauthenticated.
    Result<std::string> organisationOf(const std::string &authorization);

private:
    struct Entry
    {
        std::string organisation;
        Millis checkedAt{ 0 };
        Millis triedAt{ 0 };
    };

    bool mayAsk(Millis now);
    Result<std::string> ask(const std::string &digest, Millis now);
    void remember(const std::string &digest, const std::string &organisation, Millis now);

    ClientDirectory &directory_;
    const Clock &clock_;
    std::mutex mutex_;
    std::unordered_map<std::string, Entry> entries_;
    double lookupAllowance_ = 0;
    Millis allowanceAt_{ 0 };
};

} // namespace Portpaddle
