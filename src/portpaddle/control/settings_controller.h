// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps the daemon on the newest settings: from the platform where it reads for its data centre, from peers otherwise.
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

/// What the settings controller works with; all must outlive it.
struct SettingsControllerParts
{
    Blackboard &board;
    Platform &platform;
    const Clock &clock;
    Place place;
    /// Whether this daemon reads the platform on behalf of its data centre.
    std::function<bool()> isReader;
    /// Asks a peer for the changes after a version; none when it cannot be asked.
    std::function<std::optional<std::string>(const std::string &daemon, std::uint64_t after)> askPeer;
    /// A newer version came into force.
    std::function<void(std::uint64_t version)> onApplied;
    /// How long one watch waits; a planned stop waits for it.
    Millis watchTime;
};

/// Owns one thread; the version in force never goes down.
class SettingsController
{
public:
    explicit SettingsController(SettingsControllerParts parts);
    ~SettingsController();

    void start();
    void stop();
    /// A peer is known to hold @p version.
    void hint(const std::string &daemon, std::uint64_t version);
    /// What a peer gets that holds @p after: changes, or a snapshot when those are no longer kept.
    std::string changesAfter(std::uint64_t after) const;
    /// Takes a reply of changesAfter(); false when it brought nothing newer.
    bool takeFromPeer(const std::string &text);
    /// Takes changes that follow the present version; others are ignored.
    bool takeChanges(const std::vector<SettingsChange> &changes);
    std::uint64_t version() const;
    SettingsTree tree() const;

private:
    void run();
    void readPlatform();
    void readPeer();
    bool takeTree(const SettingsTree &tree);
    void publish();
    void notePlatform(bool reachable);
    void rest(Millis time);

    SettingsControllerParts parts_;
    SettingsLog log_;
    /// Held from reading the tree to putting it in force.
    std::mutex publishing_;
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
