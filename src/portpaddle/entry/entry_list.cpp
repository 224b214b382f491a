// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/entry/entry_list.h"

#include "portpaddle/routing/blackboard.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

/// Time after which callers fetch the list again; bounds how long they keep using a VM that leaves.
constexpr int timeToLiveSeconds = 10;
constexpr int localWeight = 100;
constexpr int remoteWeight = 10;

bool isAllowed(const CompiledSettings &settings, const std::string &organisation, const std::string &service,
               const std::string &region)
{
    if (!service.empty()) {
        return settings.policy(organisation, service).allowsRegion(region);
    }
    // If no service is named, a VM is only listed if all services are allowed in its region.
    return std::all_of(settings.services().begin(), settings.services().end(), [&](const ServiceSettings &known) {
        return settings.policy(organisation, known.name).allowsRegion(region);
    });
}

/// Returns the sort key of a member: local data centre first, then the local region, then the nearest regions.
double distance(const CompiledSettings &settings, const MemberView &member)
{
    if (member.dataCentre == settings.place().dataCentre) {
        return 0;
    }
    return 1 + settings.linkMs(settings.place().region, member.region);
}

} // namespace

nlohmann::json listEntries(const Blackboard &board, const std::string &organisation, const std::string &service)
{
    const std::shared_ptr<const CompiledSettings> settings = board.settings.read();
    const std::shared_ptr<const MemberTable> table = board.members.read();
    std::vector<MemberView> usable;
    for (const MemberView &member : table->members) {
        const bool isUsable = member.alive && !member.suspected && !member.leaving;
        if (isUsable && isAllowed(*settings, organisation, service, member.region)) {
            usable.push_back(member);
        }
    }
    std::stable_sort(usable.begin(), usable.end(), [&](const MemberView &left, const MemberView &right) {
        return distance(*settings, left) < distance(*settings, right);
    });
    nlohmann::json entries = nlohmann::json::array();
    for (const MemberView &member : usable) {
        const bool isLocal = member.dataCentre == settings->place().dataCentre;
        entries.push_back({ { "id", member.id },
                            { "address", member.entryAddress },
                            { "region", member.region },
                            { "data_centre", member.dataCentre },
                            { "weight", isLocal ? localWeight : remoteWeight } });
    }
    return { { "entries", entries }, { "ttl_s", timeToLiveSeconds }, { "settings_version", settings->version() } };
}

} // namespace Portpaddle
