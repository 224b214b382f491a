// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What a daemon believes of all others: states, incarnations, suspicion and refutation.
#pragma once

#include "portpaddle/membership/gossip_message.h"

#include <map>
#include <string>
#include <vector>

namespace Portpaddle {

/// A member with what this daemon noted about it.
struct MemberRecord
{
    MemberUpdate update;
    /// When the present state was learned.
    Millis since{ 0 };
    /// When a datagram of this member arrived last.
    Millis heardAt{ 0 };
};

/// What applying an update changed.
enum class UpdateEffect { Nothing, Changed, RefutesUs };

/// A pure state machine; time is passed in.
class MemberList
{
public:
    MemberList(MemberUpdate self, Millis now);

    const MemberUpdate &self() const;
    const std::map<std::string, MemberRecord> &records() const;
    /// Whether @p id is known and lives in the own data centre.
    bool isLocal(const std::string &id) const;
    const MemberRecord *find(const std::string &id) const;

    /// Takes what was told; after RefutesUs the own incarnation is higher and has to be told.
    UpdateEffect apply(const MemberUpdate &update, Millis now);
    void heardFrom(const std::string &id, Millis now);
    /// Marks a member that did not answer; false when nothing changed.
    bool suspect(const std::string &id, Millis now);
    /// Declares dead whoever was suspected too long; returns what changed.
    std::vector<MemberUpdate> expireSuspects(Millis timeout, Millis now);
    void leave();
    /// Forgets the dead after a long time.
    void forgetDead(Millis after, Millis now);

    /// Members of @p dataCentre (all when empty) in one of the states that are probed, without the own daemon.
    std::vector<std::string> probed(const std::string &dataCentre) const;

private:
    MemberUpdate self_;
    std::map<std::string, MemberRecord> records_;
};

} // namespace Portpaddle
