// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which requests an upstream ended under: those whose runs broke there shortly before it turned out that it had ended.
#pragma once

#include "portpaddle/crashes/request_fingerprint.h"
#include "portpaddle/interfaces/clock.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Belongs to one event loop. Upstreams are named by their lives.
class CrashWatch
{
public:
    /// The connection of a run broke before the run had shown that it can be run. True where that is the first word of
    /// @p upstream in a while, so that it should be asked whether it still lives.
    bool broke(const std::string &upstream, const RequestFingerprint &fingerprint, SteadyTime now);
    /// It still takes connections.
    void lives(const std::string &upstream);
    /// It has ended.
    void ended(const std::string &upstream, SteadyTime now);
    /// Whether it is known to have ended.
    bool hasEnded(const std::string &upstream) const;
    /// Upstreams of which it is not known yet.
    std::vector<std::string> undecided() const;
    /// Those that it ended under and that were not taken yet.
    std::vector<RequestFingerprint> takeSuspects(const std::string &upstream);
    /// Forgets what is over.
    void expire(SteadyTime now);
    std::size_t size() const;

private:
    struct Life
    {
        std::vector<RequestFingerprint> suspects;
        SteadyTime since;
        bool over = false;
    };

    std::unordered_map<std::string, Life> lives_;
};

} // namespace Portpaddle
