// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The totally ordered log of accepted changes, kept in the platform's key-value service.
#pragma once

#include "portpaddle/settings/tree.h"

#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

class Clock;
class KeyValueStore;

/// One accepted change: an entry of the log and of the audit trail.
struct SettingsChange
{
    std::uint64_t version = 0;
    std::string changeId;
    std::string author;
    std::string from;
    std::string reason;
    std::int64_t wallMs = 0;
    SettingsPatch patch;
    /// What the patch replaced.
    SettingsPatch before;
};

/// A change that an operator asks for.
struct ChangeProposal
{
    std::string changeId;
    std::string author;
    std::string from;
    std::string reason;
    SettingsPatch patch;
    /// The version the operator looked at; without one the change applies to whatever is newest.
    std::optional<std::uint64_t> expectedVersion;
};

std::string changeToText(const SettingsChange &change);
Result<SettingsChange> changeFromText(const std::string &text);
/// The log key of @p version.
std::string settingsLogKey(std::uint64_t version);

/// Reads and extends the log. Stateless but for the store: safe to make anew at any time.
class SettingsLog
{
public:
    SettingsLog(KeyValueStore &store, const Clock &clock);

    /// The changes above @p version, oldest first, at most @p limit.
    Result<std::vector<SettingsChange>> after(std::uint64_t version, std::size_t limit = 100);
    /// Brings @p tree to the newest version, by way of the snapshot when that saves reading.
    Result<SettingsTree> catchUp(SettingsTree tree);
    /// Waits until the log goes beyond @p version or until @p timeout.
    Result<std::vector<SettingsChange>> watch(std::uint64_t version, Millis timeout);
    /// The patch that takes @p present back to the values of @p version; applying it makes a new version.
    Result<SettingsPatch> patchRestoring(std::uint64_t version, const SettingsTree &present);
    /// Checks and accepts a change; the value is the accepted change.
    Result<SettingsChange> propose(const ChangeProposal &proposal, SettingsTree known = {});

private:
    Result<SettingsChange> appendTo(const SettingsTree &tree, const ChangeProposal &proposal);
    Result<SettingsChange> settle(const SettingsChange &change, const Error &writeError);
    Status refuseIfMoved(const ChangeProposal &proposal, std::uint64_t newest);
    void writeSnapshot(const SettingsTree &tree);

    KeyValueStore &store_;
    const Clock &clock_;
};

} // namespace Portpaddle
