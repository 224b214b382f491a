// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Versions of the configuration that daemons name to each other: whoever is older asks the one that is newer.

#include "portpaddle/gateway/gateway.h"

#include <algorithm>

namespace Portpaddle {

void Gateway::setCatchUp(std::function<void(const std::string &address)> catchUp)
{
    catchUp_ = std::move(catchUp);
}

std::uint64_t Gateway::configurationVersion() const
{
    return view_->services ? view_->services->version : 0;
}

// Only daemons that the store lists are asked, whoever a peer names.
void Gateway::catchUpWith(const ConfigurationStamp &newer)
{
    const auto found = std::find_if(view_->daemons.begin(), view_->daemons.end(),
                                    [&newer](const DaemonRecord &daemon) { return daemon.id == newer.daemon; });
    if (newer.version > configurationVersion() && found != view_->daemons.end()) {
        catchUp_(found->linkAddress);
    }
}

void Gateway::passOverOlderRegions(std::vector<RegionCandidate> &regions, const std::vector<std::string> &regionNames,
                                   const ChoiceContext &context, SteadyTime now)
{
    const auto isOlder = [&](const RegionCandidate &candidate) {
        const DaemonRecord *daemon
            = regions_.pick(*view_, regionNames[candidate.index], context.service, context.tried, now, random_);
        return daemon != nullptr && regions_.isOlder(daemon->id, now);
    };
    if (!regions_.knowsOlder(now) || std::all_of(regions.begin(), regions.end(), isOlder)) {
        return;
    }
    std::erase_if(regions, isOlder);
}

} // namespace Portpaddle
