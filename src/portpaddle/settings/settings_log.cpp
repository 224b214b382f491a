// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/settings/settings_log.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/base/log.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/platform.h"
#include "portpaddle/settings/checker.h"

#include <set>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

constexpr std::string_view logPrefix = "portpaddle/settings/log/";
constexpr std::string_view snapshotKey = "portpaddle/settings/snapshot";
/// The number of changes between two snapshots. A new VM reads one snapshot and at most this many changes.
constexpr std::uint64_t snapshotInterval = 64;
constexpr int maxAppendAttempts = 16;
constexpr std::size_t listLimit = 100;

Error conflict(std::string message)
{
    return Error{ ErrorCode::VersionConflict, std::move(message), RunState::NotRun, std::nullopt };
}

SettingsPatch replacedValues(const SettingsTree &tree, const SettingsPatch &patch)
{
    SettingsPatch before;
    for (const PatchEntry &entry : patch) {
        const auto node = tree.nodes().find(entry.path);
        if (node == tree.nodes().end()) {
            before.push_back(PatchEntry{ entry.path, entry.key, nullptr });
            continue;
        }
        for (const auto &[key, value] : node->second) {
            if (entry.key.empty() || entry.key == key) {
                before.push_back(PatchEntry{ entry.path, key, value.value });
            }
        }
        if (!entry.key.empty() && node->second.count(entry.key) == 0) {
            before.push_back(PatchEntry{ entry.path, entry.key, nullptr });
        }
    }
    return before;
}

std::string joinedProblems(const std::vector<SettingsProblem> &problems)
{
    std::string text;
    for (const SettingsProblem &problem : problems) {
        text += (text.empty() ? "" : "\n") + describe(problem);
    }
    return text;
}

} // namespace

std::string changeToText(const SettingsChange &change)
{
    const nlohmann::json json = { { "version", change.version },
                                  { "change_id", change.changeId },
                                  { "author", change.author },
                                  { "from", change.from },
                                  { "reason", change.reason },
                                  { "wall_ms", change.wallMs },
                                  { "patch", patchToJson(change.patch) },
                                  { "before", patchToJson(change.before) } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<SettingsChange> changeFromText(const std::string &text)
{
    const nlohmann::json json = parseJson(text);
    const bool readable = json.is_object() && json.contains("version") && json["version"].is_number_unsigned()
        && json.contains("patch") && json["patch"].is_object();
    if (!readable) {
        return Error{ ErrorCode::SettingsInvalid, "an entry of the settings log cannot be read", RunState::NotRun, std::nullopt };
    }
    SettingsChange change;
    change.version = json["version"].get<std::uint64_t>();
    change.changeId = json.value("change_id", "");
    change.author = json.value("author", "");
    change.from = json.value("from", "");
    change.reason = json.value("reason", "");
    change.wallMs = json.value("wall_ms", std::int64_t{ 0 });
    change.patch = patchFromJson(json["patch"]);
    change.before = patchFromJson(json.value("before", nlohmann::json::object()));
    return change;
}

std::string settingsLogKey(std::uint64_t version)
{
    return fmt::format("{}{:012}", logPrefix, version);
}

SettingsLog::SettingsLog(KeyValueStore &store, const Clock &clock) : store_(store), clock_(clock)
{
}

Result<std::vector<SettingsChange>> SettingsLog::after(std::uint64_t version, std::size_t limit)
{
    const Result<std::vector<KeyValue>> listed = store_.list(std::string(logPrefix), settingsLogKey(version), limit);
    if (!isOk(listed)) {
        return errorOf(listed);
    }
    std::vector<SettingsChange> changes;
    for (const KeyValue &entry : valueOf(listed)) {
        Result<SettingsChange> change = changeFromText(entry.value);
        if (!isOk(change)) {
            return errorOf(change);
        }
        // A gap means that an older part of the log was trimmed; the snapshot covers the trimmed part.
        if (valueOf(change).version != version + changes.size() + 1) {
            break;
        }
        changes.push_back(std::move(valueOf(change)));
    }
    return changes;
}

Result<SettingsTree> SettingsLog::catchUp(SettingsTree tree)
{
    if (tree.version() == 0) {
        const Result<std::optional<KeyValue>> snapshot = store_.get(std::string(snapshotKey));
        if (!isOk(snapshot)) {
            return errorOf(snapshot);
        }
        if (valueOf(snapshot)) {
            Result<SettingsTree> parsed = SettingsTree::fromSnapshot(valueOf(snapshot)->value);
            if (!isOk(parsed)) {
                return errorOf(parsed);
            }
            tree = std::move(valueOf(parsed));
        }
    }
    while (true) {
        const Result<std::vector<SettingsChange>> changes = after(tree.version(), listLimit);
        if (!isOk(changes)) {
            return errorOf(changes);
        }
        for (const SettingsChange &change : valueOf(changes)) {
            tree = tree.with(change.patch, change.version);
        }
        if (valueOf(changes).size() < listLimit) {
            return tree;
        }
    }
}

Result<std::vector<SettingsChange>> SettingsLog::watch(std::uint64_t version, Millis timeout)
{
    // Watches the key of the next entry only: a watch over the whole log would return the whole log.
    const Result<std::vector<KeyValue>> seen = store_.watch(settingsLogKey(version + 1), 0, timeout);
    if (!isOk(seen)) {
        return errorOf(seen);
    }
    if (valueOf(seen).empty()) {
        return std::vector<SettingsChange>{};
    }
    return after(version);
}

Result<SettingsPatch> SettingsLog::patchRestoring(std::uint64_t version, const SettingsTree &present)
{
    SettingsTree tree;
    while (tree.version() < version) {
        const Result<std::vector<SettingsChange>> changes = after(tree.version(), listLimit);
        if (!isOk(changes)) {
            return errorOf(changes);
        }
        if (valueOf(changes).empty()) {
            return Error{ ErrorCode::NotFound, fmt::format("version {} is not in the log", version), RunState::NotRun,
                          std::nullopt };
        }
        for (const SettingsChange &change : valueOf(changes)) {
            if (change.version <= version) {
                tree = tree.with(change.patch, change.version);
            }
        }
    }
    return present.differenceTo(tree);
}

Result<SettingsChange> SettingsLog::propose(const ChangeProposal &proposal, SettingsTree known)
{
    for (int attempt = 0; attempt < maxAppendAttempts; ++attempt) {
        Result<SettingsTree> newest = catchUp(std::move(known));
        if (!isOk(newest)) {
            return errorOf(newest);
        }
        known = std::move(valueOf(newest));
        const Status versionCheck = checkExpectedVersion(proposal, known.version());
        if (!isOk(versionCheck)) {
            return errorOf(versionCheck);
        }
        Result<SettingsChange> appended = appendTo(known, proposal);
        if (isOk(appended) || errorOf(appended).code != ErrorCode::VersionConflict) {
            return appended;
        }
    }
    return conflict("other changes were accepted first on every attempt; nothing was changed");
}

Result<SettingsChange> SettingsLog::appendTo(const SettingsTree &tree, const ChangeProposal &proposal)
{
    SettingsChange change;
    change.version = tree.version() + 1;
    change.changeId = proposal.changeId;
    change.author = proposal.author;
    change.from = proposal.from;
    change.reason = proposal.reason;
    change.wallMs = clock_.wall().count();
    change.patch = proposal.patch;
    change.before = replacedValues(tree, proposal.patch);
    const SettingsTree changed = tree.with(change.patch, change.version);
    const std::vector<SettingsProblem> problems = checkSettings(changed);
    if (!problems.empty()) {
        return Error{ ErrorCode::SettingsInvalid, joinedProblems(problems), RunState::NotRun, std::nullopt };
    }
    const Result<std::uint64_t> written = store_.put(settingsLogKey(change.version), changeToText(change), mustBeAbsent);
    if (!isOk(written)) {
        return resolveFailedWrite(change, errorOf(written));
    }
    if (change.version % snapshotInterval == 0) {
        writeSnapshot(changed);
    }
    return change;
}

Result<SettingsChange> SettingsLog::resolveFailedWrite(const SettingsChange &change, const Error &writeError)
{
    if (writeError.run == RunState::NotRun && writeError.code != ErrorCode::VersionConflict) {
        return writeError;
    }
    const Result<std::optional<KeyValue>> stored = store_.get(settingsLogKey(change.version));
    if (!isOk(stored)) {
        const std::string message
            = fmt::format("it is not known whether change {} was accepted as version {}; look it up with 'settings history'",
                          change.changeId, change.version);
        return Error{ ErrorCode::PlatformUnavailable, message, RunState::MayHaveRun, Millis{ 1000 } };
    }
    if (valueOf(stored)) {
        const Result<SettingsChange> entry = changeFromText(valueOf(stored)->value);
        if (isOk(entry) && valueOf(entry).changeId == change.changeId) {
            return valueOf(entry);
        }
        return conflict("another change was accepted as this version");
    }
    // The write has not been applied yet, but a delayed write may still be. A retry with the same change id is safe.
    return Error{ ErrorCode::PlatformUnavailable, "the platform did not confirm the change", RunState::MayHaveRun,
                  Millis{ 1000 } };
}

Status SettingsLog::checkExpectedVersion(const ChangeProposal &proposal, std::uint64_t newest)
{
    if (!proposal.expectedVersion || *proposal.expectedVersion == newest) {
        return success();
    }
    if (*proposal.expectedVersion > newest) {
        return conflict(fmt::format("version {} does not exist yet; the newest is {}", *proposal.expectedVersion, newest));
    }
    const Result<std::vector<SettingsChange>> since = after(*proposal.expectedVersion);
    if (!isOk(since)) {
        return errorOf(since);
    }
    std::string changedKeys;
    std::set<std::string> listedKeys;
    for (const SettingsChange &change : valueOf(since)) {
        // The caller's own change was accepted, but the reply was lost: it must not be listed as a conflicting change.
        if (change.changeId == proposal.changeId) {
            return conflict(fmt::format("this change was accepted already, as version {}", change.version));
        }
        for (const PatchEntry &entry : change.patch) {
            if (listedKeys.insert(entry.path + ' ' + entry.key).second) {
                changedKeys += fmt::format("\n  {} {} (version {} by {})", entry.path, entry.key, change.version, change.author);
            }
        }
    }
    return conflict(
        fmt::format("the settings changed between versions {} and {}:{}", *proposal.expectedVersion, newest, changedKeys));
}

void SettingsLog::writeSnapshot(const SettingsTree &tree)
{
    const Result<std::optional<KeyValue>> current = store_.get(std::string(snapshotKey));
    if (!isOk(current)) {
        return;
    }
    std::uint64_t revision = mustBeAbsent;
    if (valueOf(current)) {
        revision = valueOf(current)->revision;
        const Result<SettingsTree> stored = SettingsTree::fromSnapshot(valueOf(current)->value);
        if (isOk(stored) && valueOf(stored).version() >= tree.version()) {
            return;
        }
    }
    // A failed or lost write is ignored: a new VM then only reads more changes from the log.
    store_.put(std::string(snapshotKey), tree.toSnapshot().dump(), revision);
}

} // namespace Portpaddle
