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
    const std::vector<std::string> ids = members_.probed(members_.self().dataCentre);
    if (ids.empty()) {
        return std::nullopt;
    }
    while (true) {
        if (order_.empty()) {
            // A fresh random order each round bounds the time until everyone was probed.
            order_.assign(ids.begin(), ids.end());
            for (std::size_t index = order_.size() - 1; index > 0; --index) {
                std::swap(order_[index], order_[random_.below(index + 1)]);
            }
        }
        std::string next = std::move(order_.front());
        order_.pop_front();
        if (std::find(ids.begin(), ids.end(), next) != ids.end()) {
            return next;
        }
    }
}

std::optional<std::string> ProbeTargets::randomRemote()
{
    std::set<std::string> dataCentres;
    for (const std::string &id : members_.probed("")) {
        if (!members_.isLocal(id)) {
            dataCentres.insert(members_.find(id)->update.dataCentre);
        }
    }
    if (dataCentres.empty()) {
        return std::nullopt;
    }
    // A data centre first, a member second: small ones are heard as often as large ones.
    const auto chosen = std::next(dataCentres.begin(), static_cast<std::ptrdiff_t>(random_.below(dataCentres.size())));
    return pick(members_.probed(*chosen));
}

std::optional<std::string> ProbeTargets::randomDead()
{
    std::vector<std::string> dead;
    for (const auto &[id, record] : members_.records()) {
        if (record.update.state == MemberState::Dead) {
            dead.push_back(id);
        }
    }
    return pick(dead);
}

std::optional<std::string> ProbeTargets::pick(const std::vector<std::string> &ids)
{
    return ids.empty() ? std::nullopt : std::optional{ ids[random_.below(ids.size())] };
}

} // namespace Portpaddle
