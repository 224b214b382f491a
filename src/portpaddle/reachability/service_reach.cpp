// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/reachability/service_reach.h"

#include "portpaddle/base/name_table.h"

#include <algorithm>

namespace Portpaddle {

namespace {

constexpr NameTable<Reach, 3> reachNames{ { "whole", "open_connections", "none" } };

// One upstream may have crashed; where the service has only one, its failure is all that can be seen.
constexpr std::size_t minFailedUpstreams = 2;
// Failures further apart than this have nothing to do with each other.
constexpr std::chrono::milliseconds maxFailureGap{ 2'000 };
// Busy upstreams send something every few milliseconds.
constexpr std::chrono::milliseconds maxSilence{ 600 };

} // namespace

std::string_view nameOf(Reach reach)
{
    return reachNames[reach];
}

void ServiceReach::connected()
{
    failed_.clear();
    reach_ = Reach::Whole;
}

void ServiceReach::heard(SteadyTime now)
{
    heardAt_ = now;
    reach_ = reach_ == Reach::None ? Reach::OpenConnections : reach_;
}

void ServiceReach::connectFailed(const std::string &upstream, std::size_t listed, SteadyTime now)
{
    if (reach_ == Reach::Whole && now - lastFailureAt_ > maxFailureGap) {
        failed_.clear();
    }
    if (failed_.empty()) {
        firstFailureAt_ = now;
    }
    lastFailureAt_ = now;
    failed_.insert(upstream);
    if (reach_ == Reach::Whole && failed_.size() < std::min(minFailedUpstreams, listed)) {
        return;
    }
    const bool heardSince = heardAt_ > firstFailureAt_ && now - heardAt_ < maxSilence;
    reach_ = heardSince ? Reach::OpenConnections : Reach::None;
}

Reach ServiceReach::reach() const
{
    return reach_;
}

bool ServiceReach::heardSince(SteadyTime time) const
{
    return heardAt_ >= time;
}

bool ServiceReach::hasFailed(const std::string &upstream) const
{
    return failed_.contains(upstream);
}

} // namespace Portpaddle
