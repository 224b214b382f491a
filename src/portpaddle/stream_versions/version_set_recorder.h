// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps the version sets of the own region's services in the store up to date.
#pragma once

#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/stream_versions/begun_streams.h"
#include "portpaddle/stream_versions/version_sets.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Portpaddle {

/// Terms of the records.
struct VersionSetTerms
{
    /// Changes of the store are known to all daemons that follow it within this time.
    Millis settling{ 3'000 };
    /// The whole fleet starts for the first time, so that no stream began before.
    bool isFirstStart = false;
    /// All regions in which streams may begin.
    std::set<std::string> regions;
};

/// Writes are conditional on the record that they replace. Belongs to one event loop.
class VersionSetRecorder
{
public:
    /// Writes @p set unless the stored record has another revision than that of @p set; does not block.
    using WriteRecord = std::function<void(const VersionSetPlace &place, const VersionSet &set)>;
    /// Returns this daemon's rank among those that may write for a service; no value if it is not listed.
    using OwnRank = std::function<std::optional<std::size_t>(const std::string &service)>;

    explicit VersionSetRecorder(std::string ownRegion);

    void setTerms(const VersionSetTerms &terms);
    void setWriter(WriteRecord write);
    void setView(std::shared_ptr<const FleetView> view, SteadyTime now);
    /// Writes what is due; call a few times a second. @p stalled is true if the process did not run for a while.
    void tick(bool stalled, const OwnRank &ownRank, SteadyTime now);
    /// Whether a stream of @p service may begin at an upstream of @p version in the own region.
    bool mayBegin(const std::string &service, const std::string &version, SteadyTime now) const;

private:
    struct State
    {
        /// Versions of the upstreams that are listed now.
        std::set<std::string> present;
        /// When an upstream of each version was last listed.
        std::map<std::string, SteadyTime> lastSeen;
        /// Since when this daemon knows that a version is announced.
        std::map<std::string, SteadyTime> announcedSince;
        std::optional<SteadyTime> incompleteSince;
        /// Since when the record has to be changed.
        std::optional<SteadyTime> dueSince;
        std::optional<SteadyTime> writtenAt;
        /// Revision of the record that this write was to replace.
        std::uint64_t replacedRevision = 0;
    };

    const VersionSet *stored(const std::string &service) const;
    /// Whether streams of @p service begin at @p version only, wherever they begin.
    bool isSole(const std::string &service, const std::string &version) const;
    void collectPresent();
    void observeRecord(const std::string &service, State &state, SteadyTime now) const;
    /// Returns the record as it should be; no value if the stored one is right.
    std::optional<VersionSet> wanted(const std::string &service, const State &state, SteadyTime now) const;
    VersionSet firstRecord(const State &state, SteadyTime now) const;
    /// Whether a write that would replace the same record may still be on its way.
    static bool awaitsWrite(const State &state, const VersionSet &set, SteadyTime now);
    /// Whether the store was followed without a gap for as long as streams last.
    bool hasWatchedLong(SteadyTime now) const;
    bool isAnnouncedLong(const State &state, const std::string &version, SteadyTime now) const;

    std::string ownRegion_;
    VersionSetTerms terms_;
    WriteRecord write_ = [](const VersionSetPlace &, const VersionSet &) {};
    std::shared_ptr<const FleetView> view_;
    SteadyTime startedAt_;
    std::optional<SteadyTime> watchedSince_;
    /// By service; only services whose streams can be taken up.
    std::map<std::string, State> states_;
};

} // namespace Portpaddle
