// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps the daemon's settings up to date: from the platform if it reads for its data centre, from peers otherwise.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/routing/blackboard.h"
#include "portpaddle/settings/settings_log.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace Portpaddle {

class Clock;
class Platform;

/// The dependencies of the settings controller; the referenced objects must outlive it.
struct SettingsControllerParts
{
    Blackboard &board;
    Platform &platform;
    const Clock &clock;
    Place place;
    /// Whether this daemon reads the platform on behalf of its data centre.
    std::function<bool()> isReader;
    /// Asks a peer for the changes after a version; returns no value if the peer cannot be asked.
    std::function<std::optional<std::string>(const std::string &daemon, std::uint64_t after)> askPeer;
    /// Called after a newer version came into force.
    std::function<void(std::uint64_t version)> onApplied;
    /// How long one watch of the platform waits; stop() may wait as long.
    Millis watchTime;
};

/// Owns one thread. The version in force never decreases.
class SettingsController
{
public:
    explicit SettingsController(SettingsControllerParts parts);
    ~SettingsController();

    void start();
    void stop();
    /// Notes that a peer holds @p version; a version newer than this daemon's is requested from it.
    void hint(const std::string &daemon, std::uint64_t version);
    /// Returns the reply for a peer that holds version @p after: changes, or a snapshot if those are no longer kept.
    std::string changesAfter(std::uint64_t after) const;
    /// Applies a reply of changesAfter(); returns false if it holds nothing newer.
    bool applyPeerReply(const std::string &text);
    /// Applies the changes that directly follow the current version and ignores others; returns whether any was applied.
    bool takeChanges(const std::vector<SettingsChange> &changes);
    std::uint64_t version() const;
    SettingsTree tree() const;

private:
    void run();
    void readPlatform();
    void readPeer();
    bool applyTree(const SettingsTree &tree);
    void publish();
    void publishPlatformState(bool reachable);
    /// Waits for @p time, or less if a newer version is announced or the controller stops.
    void waitFor(Millis time);

    SettingsControllerParts parts_;
    SettingsLog log_;
    /// Held from reading the tree until it is in force.
    std::mutex publishMutex_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    SettingsTree tree_;
    std::deque<SettingsChange> recent_;
    std::string hintedDaemon_;
    std::uint64_t hintedVersion_ = 0;
    bool stopping_ = false;
    Thread thread_;
};

} // namespace Portpaddle
