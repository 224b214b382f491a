// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout.h"

#include "portpaddle/base/name_table.h"

namespace Portpaddle {

namespace {

constexpr NameTable<RolloutStage, 4> stageNames{ { "trial", "shift", "completed", "rolled_back" } };

} // namespace

std::string_view nameOf(RolloutStage stage)
{
    return stageNames[stage];
}

std::optional<RolloutStage> rolloutStageNamed(std::string_view name)
{
    return stageNames.find(name);
}

bool RolloutRecord::isFinal() const
{
    return stage == RolloutStage::Completed || stage == RolloutStage::RolledBack;
}

bool Rollout::isRecorded() const
{
    return record && (!order || record->order == order->id);
}

bool Rollout::isOpen() const
{
    return order && !(isRecorded() && record->isFinal());
}

// A daemon without the store would not hear of a rollback, and the older upstreams run until the rollout has completed. Only at
// the full share may the rollout have completed unheard, so the daemon stays with the new version then.
std::optional<VersionRule> versionRule(const Rollout &rollout, bool storeReachable)
{
    if (!rollout.isRecorded()) {
        return rollout.order ? std::optional(VersionRule{ rollout.order->version, 0, false }) : std::nullopt;
    }
    const RolloutRecord &record = *rollout.record;
    const bool mayBeReversed = !record.isFinal() && record.share < 1;
    return VersionRule{ record.version, mayBeReversed && !storeReachable ? 0 : record.share, record.isFinal() };
}

// Independent draws keep the share over all daemons without any state: the sum of n draws exceeds its mean by a few square roots
// of n only, however many daemons make them and however often they restart.
VersionArm drawArm(const std::optional<VersionRule> &rule, double chance)
{
    if (!rule) {
        return VersionArm::Any;
    }
    return chance < rule->share ? VersionArm::Newer : VersionArm::Older;
}

VersionArm armOf(const std::optional<VersionRule> &rule, std::string_view version)
{
    if (!rule) {
        return VersionArm::Any;
    }
    return version == rule->version ? VersionArm::Newer : VersionArm::Older;
}

// The new version never stands in for the older ones, because that would exceed its share.
std::optional<VersionArm> fallbackArm(const std::optional<VersionRule> &rule, VersionArm arm)
{
    return rule && !rule->isFinal && arm == VersionArm::Newer ? std::optional(VersionArm::Older) : std::nullopt;
}

bool admitsVersion(const std::optional<VersionRule> &rule, std::string_view version)
{
    const VersionArm arm = armOf(rule, version);
    return !(arm == VersionArm::Newer && rule->share <= 0) && !(arm == VersionArm::Older && rule->isFinal && rule->share >= 1);
}

} // namespace Portpaddle
