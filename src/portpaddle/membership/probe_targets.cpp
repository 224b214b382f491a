// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/membership/probe_targets.h"

#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/membership/member_list.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Portpaddle {

ProbeTargets::ProbeTargets(const MemberList &members, RandomSource &random) : members_(members), random_(random)
{
}

std::optional<std::string> ProbeTargets::nextLocal()
{
    const std::vector<std::string> ids = members_.activeMembers(members_.self().dataCentre);
    if (ids.empty()) {
        return std::nullopt;
    }
    while (true) {
        if (probeOrder_.empty()) {
            // Shuffling once per round bounds the time until every member was probed.
            probeOrder_.assign(ids.begin(), ids.end());
            for (std::size_t index = probeOrder_.size() - 1; index > 0; --index) {
                std::swap(probeOrder_[index], probeOrder_[random_.below(index + 1)]);
            }
        }
        std::string next = std::move(probeOrder_.front());
        probeOrder_.pop_front();
        if (std::find(ids.begin(), ids.end(), next) != ids.end()) {
            return next;
        }
    }
}

std::optional<std::string> ProbeTargets::randomRemote()
{
    std::set<std::string> dataCentres;
    for (const std::string &id : members_.activeMembers("")) {
        if (!members_.isLocal(id)) {
            dataCentres.insert(members_.find(id)->update.dataCentre);
        }
    }
    if (dataCentres.empty()) {
        return std::nullopt;
    }
    // Choosing the data centre before the member probes small data centres as often as large ones.
    const auto chosen = std::next(dataCentres.begin(), static_cast<std::ptrdiff_t>(random_.below(dataCentres.size())));
    return pickRandom(members_.activeMembers(*chosen));
}

std::optional<std::string> ProbeTargets::randomDead()
{
    std::vector<std::string> dead;
    for (const auto &[id, record] : members_.records()) {
        if (record.update.state == MemberState::Dead) {
            dead.push_back(id);
        }
    }
    return pickRandom(dead);
}

std::optional<SocketAddress> ProbeTargets::unknownSeed(const std::vector<SocketAddress> &seeds)
{
    for (std::size_t count = 0; count < seeds.size(); ++count) {
        const SocketAddress &seed = seeds[nextSeed_++ % seeds.size()];
        const bool known = std::any_of(members_.records().begin(), members_.records().end(), [&seed](const auto &entry) {
            return entry.second.update.state != MemberState::Dead && entry.second.update.gossip == seed;
        });
        if (!known) {
            return seed;
        }
    }
    return std::nullopt;
}

std::optional<std::string> ProbeTargets::pickRandom(const std::vector<std::string> &ids)
{
    return ids.empty() ? std::nullopt : std::optional{ ids[random_.below(ids.size())] };
}

} // namespace Portpaddle
