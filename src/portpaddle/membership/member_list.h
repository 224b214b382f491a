// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A daemon's view of all members: states, incarnations, suspicion and refutation.
#pragma once

#include "portpaddle/membership/gossip_message.h"

#include <map>
#include <string>
#include <vector>

namespace Portpaddle {

/// A member and when this daemon last learned of it.
struct MemberRecord
{
    MemberUpdate update;
    /// When the current state was learned.
    Millis since{ 0 };
    /// When the last datagram from this member arrived.
    Millis lastContactAt{ 0 };
};

/// What applying an update changed.
enum class UpdateEffect { Nothing, Changed, RefutationNeeded };

/// The member states as a pure state machine; time is passed in.
class MemberList
{
public:
    MemberList(MemberUpdate self, Millis now);

    const MemberUpdate &self() const;
    const std::map<std::string, MemberRecord> &records() const;
    /// Whether @p id is a known member of the local data centre.
    bool isLocal(const std::string &id) const;
    const MemberRecord *find(const std::string &id) const;

    /// Applies a received update. RefutationNeeded means that this daemon's incarnation was raised and must be announced.
    UpdateEffect apply(const MemberUpdate &update, Millis now);
    void recordContact(const std::string &id, Millis now);
    /// Marks a member that did not answer a probe; returns false if nothing changed.
    bool suspect(const std::string &id, Millis now);
    /// Declares members dead that have been suspect for @p timeout; returns their updates.
    std::vector<MemberUpdate> expireSuspects(Millis timeout, Millis now);
    void leave();
    /// Removes members that have been dead for @p after.
    void forgetDead(Millis after, Millis now);

    /// Returns the members of @p dataCentre (of all when empty) that are not dead, without this daemon.
    std::vector<std::string> activeMembers(const std::string &dataCentre) const;

private:
    MemberUpdate self_;
    std::map<std::string, MemberRecord> records_;
};

} // namespace Portpaddle
