// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/membership/member_list.h"

namespace Portpaddle {

namespace {

/// Keeps a hostile or broken peer from filling the memory with invented members.
constexpr std::size_t maxMembers = 4096;

bool supersedes(const MemberUpdate &update, const MemberUpdate &known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return update.state > known.state;
}

} // namespace

MemberList::MemberList(MemberUpdate self, Millis now) : self_(std::move(self))
{
    records_[self_.id] = MemberRecord{ self_, now, now };
}

const MemberUpdate &MemberList::self() const
{
    return self_;
}

const std::map<std::string, MemberRecord> &MemberList::records() const
{
    return records_;
}

const MemberRecord *MemberList::find(const std::string &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

UpdateEffect MemberList::apply(const MemberUpdate &update, Millis now)
{
    if (update.id == self_.id) {
        const bool confirmsOwnState = update.incarnation == self_.incarnation && update.state <= self_.state;
        if (update.incarnation < self_.incarnation || confirmsOwnState) {
            return UpdateEffect::Nothing;
        }
        // Either this daemon is suspected, or others remember a former process with its name. A higher incarnation
        // overrides both; the state is kept, so that a leaving daemon stays leaving.
        self_.incarnation = update.incarnation + 1;
        records_[self_.id] = MemberRecord{ self_, now, now };
        return UpdateEffect::RefutationNeeded;
    }
    const auto found = records_.find(update.id);
    if (found == records_.end()) {
        if (records_.size() >= maxMembers) {
            return UpdateEffect::Nothing;
        }
        records_[update.id] = MemberRecord{ update, now, Millis{ 0 } };
        return UpdateEffect::Changed;
    }
    if (!supersedes(update, found->second.update)) {
        return UpdateEffect::Nothing;
    }
    found->second.update = update;
    found->second.since = now;
    return UpdateEffect::Changed;
}

void MemberList::recordContact(const std::string &id, Millis now)
{
    const auto found = records_.find(id);
    if (found != records_.end()) {
        found->second.lastContactAt = now;
    }
}

bool MemberList::suspect(const std::string &id, Millis now)
{
    const auto found = records_.find(id);
    if (found == records_.end() || id == self_.id) {
        return false;
    }
    MemberState &state = found->second.update.state;
    if (state == MemberState::Alive) {
        state = MemberState::Suspect;
    } else if (state == MemberState::Leaving) {
        // A member that announced that it leaves and then stops answering has left.
        state = MemberState::Dead;
    } else {
        return false;
    }
    found->second.since = now;
    return true;
}

std::vector<MemberUpdate> MemberList::expireSuspects(Millis timeout, Millis now)
{
    std::vector<MemberUpdate> died;
    for (auto &[id, record] : records_) {
        if (record.update.state == MemberState::Suspect && now >= record.since + timeout) {
            record.update.state = MemberState::Dead;
            record.since = now;
            died.push_back(record.update);
        }
    }
    return died;
}

void MemberList::leave()
{
    self_.state = MemberState::Leaving;
    records_[self_.id].update = self_;
}

void MemberList::forgetDead(Millis after, Millis now)
{
    std::erase_if(records_, [&](const auto &entry) {
        return entry.second.update.state == MemberState::Dead && now >= entry.second.since + after;
    });
}

std::vector<std::string> MemberList::activeMembers(const std::string &dataCentre) const
{
    std::vector<std::string> result;
    for (const auto &[id, record] : records_) {
        const bool here = dataCentre.empty() || record.update.dataCentre == dataCentre;
        if (id != self_.id && here && record.update.state != MemberState::Dead) {
            result.push_back(id);
        }
    }
    return result;
}

bool MemberList::isLocal(const std::string &id) const
{
    const MemberRecord *record = find(id);
    return record != nullptr && record->update.dataCentre == self().dataCentre;
}

} // namespace Portpaddle
