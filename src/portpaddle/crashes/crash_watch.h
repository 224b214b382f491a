// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Finds the requests under which an upstream crashed: those whose runs broke there shortly before the upstream was found to have
/// ended.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/interfaces/clock.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Keeps the broken runs of each incarnation of an upstream; @p upstream is the id of an incarnation. Belongs to one event loop.
class CrashWatch
{
public:
    /// Records that the connection of a run broke before the run had proved that its request can be run. Returns true for the
    /// first break of @p upstream in a while, after which the caller should probe whether it is still alive.
    bool recordBreak(const std::string &upstream, const RequestFingerprint &fingerprint, SteadyTime now);
    /// Records the parts of the prompt of such a run, after its break.
    void recordParts(const std::string &upstream, const std::vector<RequestFingerprint> &parts);
    /// Records that @p upstream still accepts connections.
    void confirmAlive(const std::string &upstream);
    /// Records that @p upstream has ended.
    void confirmEnded(const std::string &upstream, SteadyTime now);
    /// Returns whether @p upstream is known to have ended.
    bool hasEnded(const std::string &upstream) const;
    /// Returns whether it is not known yet whether @p upstream, with broken runs, has ended.
    bool isInDoubt(const std::string &upstream) const;
    /// Returns the upstreams with broken runs of which it is not known yet whether they have ended.
    std::vector<std::string> unconfirmed() const;
    /// Returns the requests with broken runs at @p upstream that were not taken yet, and removes them.
    std::vector<RequestFingerprint> takeSuspects(const std::string &upstream);
    /// As takeSuspects(), for the parts of prompts.
    std::vector<RequestFingerprint> takeSuspectedParts(const std::string &upstream);
    /// Drops expired entries.
    void expire(SteadyTime now);
    std::size_t size() const;

private:
    struct Incarnation
    {
        std::vector<RequestFingerprint> suspects;
        std::vector<RequestFingerprint> parts;
        SteadyTime since;
        bool endConfirmed = false;
    };

    std::unordered_map<std::string, Incarnation> incarnations_;
};

} // namespace Portpaddle
