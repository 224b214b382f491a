// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The totally ordered log of accepted settings changes, stored in the platform's key-value store.
#pragma once

#include "portpaddle/settings/tree.h"

#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

class Clock;
class KeyValueStore;

/// An accepted change: an entry of the log and of the audit trail.
struct SettingsChange
{
    std::uint64_t version = 0;
    std::string changeId;
    std::string author;
    std::string from;
    std::string reason;
    std::int64_t wallMs = 0;
    SettingsPatch patch;
    /// The values that the patch replaced.
    SettingsPatch before;
};

/// A change proposed by an operator.
struct ChangeProposal
{
    std::string changeId;
    std::string author;
    std::string from;
    std::string reason;
    SettingsPatch patch;
    /// The version on which the proposal is based; without a value the change applies to the newest version.
    std::optional<std::uint64_t> expectedVersion;
};

std::string changeToText(const SettingsChange &change);
Result<SettingsChange> changeFromText(const std::string &text);
/// Returns the key of the log entry of @p version.
std::string settingsLogKey(std::uint64_t version);

/// Reads and extends the log. Holds no state of its own, so that instances may be created at any time.
class SettingsLog
{
public:
    SettingsLog(KeyValueStore &store, const Clock &clock);

    /// Returns the changes after @p version, oldest first, at most @p limit of them.
    Result<std::vector<SettingsChange>> after(std::uint64_t version, std::size_t limit = 100);
    /// Returns @p tree advanced to the newest version; a tree of version 0 starts from the stored snapshot.
    Result<SettingsTree> catchUp(SettingsTree tree);
    /// Waits up to @p timeout for changes after @p version and returns them; empty on a timeout.
    Result<std::vector<SettingsChange>> watch(std::uint64_t version, Millis timeout);
    /// Returns the patch that changes @p present back to the values of @p version. Applying the patch creates a new version.
    Result<SettingsPatch> patchRestoring(std::uint64_t version, const SettingsTree &present);
    /// Validates a change and appends it to the log; returns the accepted change. The log is read on from @p known.
    Result<SettingsChange> propose(const ChangeProposal &proposal, SettingsTree known = {});

private:
    Result<SettingsChange> appendTo(const SettingsTree &tree, const ChangeProposal &proposal);
    Result<SettingsChange> resolveFailedWrite(const SettingsChange &change, const Error &writeError);
    Status checkExpectedVersion(const ChangeProposal &proposal, std::uint64_t newest);
    void writeSnapshot(const SettingsTree &tree);

    KeyValueStore &store_;
    const Clock &clock_;
};

} // namespace Portpaddle
