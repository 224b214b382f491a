// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/control/settings_controller.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/base/log.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/platform.h"

namespace Portpaddle {

namespace {

constexpr Millis failureDelay{ 1'000 };
constexpr Millis idleDelay{ 1'000 };
/// Number of changes kept for peers that are slightly behind; peers further behind get a snapshot.
constexpr std::size_t maxRecentChanges = 256;

} // namespace

SettingsController::SettingsController(SettingsControllerParts parts)
    : parts_(std::move(parts)), log_(parts_.platform, parts_.clock)
{
    publish();
}

SettingsController::~SettingsController()
{
    stop();
}

void SettingsController::start()
{
    thread_ = Thread("settings", [this] { run(); });
}

void SettingsController::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        wake_.notify_all();
    }
    thread_.join();
}

void SettingsController::hint(const std::string &daemon, std::uint64_t version)
{
    const std::lock_guard lock(mutex_);
    if (version > tree_.version() && version >= hintedVersion_) {
        hintedDaemon_ = daemon;
        hintedVersion_ = version;
        wake_.notify_all();
    }
}

std::string SettingsController::changesAfter(std::uint64_t after) const
{
    const std::lock_guard lock(mutex_);
    const bool kept = !recent_.empty() && recent_.front().version <= after + 1;
    nlohmann::json json;
    if (!kept && after < tree_.version()) {
        json["snapshot"] = tree_.toSnapshot().dump();
        return json.dump();
    }
    json["changes"] = nlohmann::json::array();
    for (const SettingsChange &change : recent_) {
        if (change.version > after) {
            json["changes"].push_back(changeToText(change));
        }
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool SettingsController::applyPeerReply(const std::string &text)
{
    const nlohmann::json json = parseJson(text);
    if (!json.is_object()) {
        return false;
    }
    if (json.contains("snapshot") && json["snapshot"].is_string()) {
        const Result<SettingsTree> tree = SettingsTree::fromSnapshot(json["snapshot"].get<std::string>());
        return isOk(tree) && applyTree(valueOf(tree));
    }
    std::vector<SettingsChange> changes;
    for (const nlohmann::json &item : json.value("changes", nlohmann::json::array())) {
        const Result<SettingsChange> change = item.is_string()
            ? changeFromText(item.get<std::string>())
            : Result<SettingsChange>(Error{ ErrorCode::SettingsInvalid, "an item of the reply is not a settings change",
                                            RunState::NotRun, std::nullopt });
        if (!isOk(change)) {
            return false;
        }
        changes.push_back(valueOf(change));
    }
    return takeChanges(changes);
}

bool SettingsController::takeChanges(const std::vector<SettingsChange> &changes)
{
    bool applied = false;
    {
        const std::lock_guard lock(mutex_);
        for (const SettingsChange &change : changes) {
            // Only the next version is applied, so that no change is skipped and no version is undone.
            if (change.version != tree_.version() + 1) {
                continue;
            }
            tree_ = tree_.with(change.patch, change.version);
            recent_.push_back(change);
            applied = true;
        }
        while (recent_.size() > maxRecentChanges) {
            recent_.pop_front();
        }
    }
    if (applied) {
        publish();
    }
    return applied;
}

std::uint64_t SettingsController::version() const
{
    const std::lock_guard lock(mutex_);
    return tree_.version();
}

SettingsTree SettingsController::tree() const
{
    const std::lock_guard lock(mutex_);
    return tree_;
}

void SettingsController::run()
{
    while (true) {
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return;
            }
        }
        readPeer();
        if (parts_.isReader()) {
            readPlatform();
        } else {
            waitFor(idleDelay);
        }
    }
}

void SettingsController::readPlatform()
{
    const SettingsTree known = tree();
    if (known.version() == 0) {
        const Result<SettingsTree> newest = log_.catchUp(known);
        publishPlatformState(isOk(newest));
        if (!isOk(newest)) {
            return waitFor(failureDelay);
        }
        if (applyTree(valueOf(newest))) {
            return;
        }
    }
    const Result<std::vector<SettingsChange>> changes = log_.watch(version(), parts_.watchTime);
    publishPlatformState(isOk(changes));
    if (!isOk(changes)) {
        return waitFor(failureDelay);
    }
    takeChanges(valueOf(changes));
}

void SettingsController::readPeer()
{
    std::string daemon;
    std::uint64_t known = 0;
    {
        const std::lock_guard lock(mutex_);
        known = tree_.version();
        if (hintedVersion_ <= known) {
            return;
        }
        daemon = hintedDaemon_;
        hintedVersion_ = 0;
    }
    const std::optional<std::string> reply = parts_.askPeer(daemon, known);
    if (reply) {
        applyPeerReply(*reply);
    }
}

bool SettingsController::applyTree(const SettingsTree &tree)
{
    {
        const std::lock_guard lock(mutex_);
        if (tree.version() <= tree_.version()) {
            return false;
        }
        tree_ = tree;
        recent_.clear();
    }
    publish();
    return true;
}

// Both the settings thread and a call of an operator publish; an older tree must not be published after a newer one.
void SettingsController::publish()
{
    const std::lock_guard lock(publishMutex_);
    const std::shared_ptr<const CompiledSettings> compiled = CompiledSettings::compile(tree(), parts_.place);
    parts_.board.settings.publish(compiled);
    if (compiled->version() == 0) {
        return;
    }
    logEvent(LogEvent::SettingsApplied, { { "version", std::to_string(compiled->version()) } });
    if (parts_.onApplied) {
        parts_.onApplied(compiled->version());
    }
}

void SettingsController::publishPlatformState(bool reachable)
{
    const std::shared_ptr<const PlatformView> before = parts_.board.platform.read();
    if (before->reachable == reachable && before->since != Millis{ 0 }) {
        return;
    }
    parts_.board.platform.publish(std::make_shared<PlatformView>(PlatformView{ reachable, parts_.clock.monotonic() }));
    logEvent(reachable ? LogEvent::PlatformReachable : LogEvent::PlatformUnreachable);
}

void SettingsController::waitFor(Millis time)
{
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, time, [this] { return stopping_ || hintedVersion_ > tree_.version(); });
}

} // namespace Portpaddle
