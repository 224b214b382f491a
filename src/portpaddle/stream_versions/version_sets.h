// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The software versions at which the streams of a service may begin. They are kept in the store, so that they outlive all
/// daemons: a daemon that knows that all streams began at one version needs no other proof of where a stream began.
#pragma once

#include "portpaddle/stream_versions/stream_key.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Portpaddle {

/// The versions of one service in one region.
struct VersionSet
{
    /// Streams may begin at these.
    std::set<std::string> open;
    /// Streams may begin at these as well, which not all daemons know yet.
    std::set<std::string> announced;
    /// Whether streams in progress can have begun at no version but those of open and announced.
    bool complete = false;
    /// Revision of the store at which the record was written; zero if there is none.
    std::uint64_t revision = 0;
};

/// The sets of one service, by region.
using RegionVersionSets = std::map<std::string, VersionSet, std::less<>>;
/// By service.
using VersionSets = std::map<std::string, RegionVersionSets, std::less<>>;

/// Returns the one version at which all streams of @p service in progress began; no value if that is not certain. All of @p
/// regions have to have a record.
std::optional<VersionKey> soleVersion(const VersionSets &sets, const std::string &service, const std::set<std::string> &regions);

/// Returns the set of @p service in @p region; null if there is no record.
const VersionSet *findVersionSet(const VersionSets &sets, const std::string &service, const std::string &region);

/// Whether a stream may begin at @p version. Without a record it may, because then no daemon relies on one.
bool mayBeginStream(const VersionSet *set, const std::string &version);

/// Where the set of a service in a region is stored.
struct VersionSetPlace
{
    std::string service;
    std::string region;

    auto operator<=>(const VersionSetPlace &) const = default;
};

std::string versionSetKey(const VersionSetPlace &place);
/// Returns the place whose record is stored under @p key; no value if @p key is not that of a record.
std::optional<VersionSetPlace> placeOfVersionSetKey(const std::string &key);
std::string encodeVersionSet(const VersionSet &set);
/// Decodes a record; no value if @p text is malformed.
std::optional<VersionSet> decodeVersionSet(const std::string &text, std::uint64_t revision);

} // namespace Portpaddle
