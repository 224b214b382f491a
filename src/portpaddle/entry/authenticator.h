// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Maps bearer keys to organisations, for known keys also while the client directory is unavailable.
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

    /// Returns the organisation that the Authorization header identifies, or an error if there is none or it cannot be looked up.
    Result<std::string> organisationOf(const std::string &authorization);

private:
    struct Entry
    {
        std::string organisation;
        Millis checkedAt{ 0 };
        Millis attemptedAt{ 0 };
    };

    /// Consumes one lookup of the rate limit for unknown keys; returns false if none is left.
    bool takeLookup(Millis now);
    Result<std::string> lookUp(const std::string &digest, Millis now);
    void store(const std::string &digest, const std::string &organisation, Millis now);

    ClientDirectory &directory_;
    const Clock &clock_;
    std::mutex mutex_;
    std::unordered_map<std::string, Entry> entries_;
    double lookupAllowance_ = 0;
    Millis allowanceAt_{ 0 };
};

} // namespace Portpaddle
