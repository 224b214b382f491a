// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Rollouts: an operator orders that the traffic of a service move to the upstreams of another version.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

/// How far a rollout has come. The last two stages are final.
enum class RolloutStage { Trial, Shift, Completed, RolledBack };
std::string_view nameOf(RolloutStage stage);
std::optional<RolloutStage> rolloutStageNamed(std::string_view name);

/// An order of the operator.
struct RolloutOrder
{
    /// Revision of the store at which the order was written.
    std::uint64_t id = 0;
    std::string service;
    /// The version to which the traffic is to move.
    std::string version;
    /// The time in which the rollout must end, from the order on.
    Millis duration{ 0 };
};

/// What the daemons have decided about an order; kept in the store.
struct RolloutRecord
{
    /// RolloutOrder::id of the order that this record is about.
    std::uint64_t order = 0;
    std::string service;
    std::string version;
    RolloutStage stage = RolloutStage::Trial;
    /// Share of the service's requests that the new version receives, from 0 to 1.
    double share = 0;
    /// Time from the order to this record.
    Millis elapsed{ 0 };
    /// Why the rollout was rolled back; empty otherwise.
    std::string reason;
    /// Revision of the store at which the record was written; zero if it is not known from the store.
    std::uint64_t revision = 0;

    bool isFinal() const;
};

/// The order and the record of one service.
struct Rollout
{
    std::optional<RolloutOrder> order;
    std::optional<RolloutRecord> record;

    /// Whether the record is about the order, or there is no order any more.
    bool isRecorded() const;
    /// Whether there is an order that has not reached a final stage.
    bool isOpen() const;
};

/// By service.
using Rollouts = std::map<std::string, Rollout, std::less<>>;

/// Which version of a service receives which share of its requests; all other versions receive the rest.
struct VersionRule
{
    std::string version;
    double share = 0;
    /// The rollout has ended, so that a version without a share must not be used even if no other one is available.
    bool isFinal = false;
};

/// Returns the rule in force for a service; no value if all its versions are alike.
std::optional<VersionRule> versionRule(const Rollout &rollout, bool storeReachable);

/// The versions to which one request may be sent.
enum class VersionArm { Any, Older, Newer };

/// Draws the arm of a request; @p chance is uniform from 0 to below 1.
VersionArm drawArm(const std::optional<VersionRule> &rule, double chance);
/// Returns the arm to which @p version belongs; Any if there is no rule.
VersionArm armOf(const std::optional<VersionRule> &rule, std::string_view version);
/// Returns the arm of a request for which no upstream of @p arm is available; no value if no other arm may be used.
std::optional<VersionArm> fallbackArm(const std::optional<VersionRule> &rule, VersionArm arm);
/// Whether requests may be sent to upstreams of @p version at all.
bool admitsVersion(const std::optional<VersionRule> &rule, std::string_view version);

} // namespace Portpaddle
