// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/load_model/load_models.h"

#include "portpaddle/routing/rendezvous.h"
#include "portpaddle/store_following/fleet_view.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Portpaddle {

namespace {

std::uint32_t sampleKey(const std::string &service)
{
    return static_cast<std::uint32_t>(stableHash(service));
}

Wire::FirstTokenTime encode(std::uint32_t service, const FirstTokenSample &sample)
{
    return { service,
             sample.upstream,
             static_cast<std::uint32_t>(std::clamp(sample.tokens, 0.0, maxSampleTokens)),
             static_cast<std::uint16_t>(std::clamp(std::round(sample.ms), 1.0, maxSampleMs)),
             static_cast<std::uint8_t>(sample.urgency),
             sample.unfinished };
}

FirstTokenSample decode(const Wire::FirstTokenTime &time)
{
    FirstTokenSample sample;
    sample.upstream = time.upstream();
    sample.tokens = time.tokens();
    sample.ms = time.ms();
    sample.urgency = static_cast<Urgency>(std::min<std::size_t>(time.urgency(), urgencyCount - 1));
    sample.unfinished = time.unfinished();
    return sample;
}

} // namespace

void LoadModels::setServices(const ServiceMap &services)
{
    std::set<std::uint32_t> current;
    for (const auto &[name, spec] : services.services) {
        if (spec.isModelEngine()) {
            current.insert(sampleKey(name));
            models_.try_emplace(sampleKey(name));
        }
    }
    std::erase_if(models_, [&current](const auto &entry) { return !current.contains(entry.first); });
}

void LoadModels::follow(const FleetView &view, const FleetView &earlier)
{
    view.upstreams.forEachChangedShard(earlier.upstreams, [this](const auto &shard, const auto &earlierShard) {
        for (const auto &[id, record] : earlierShard) {
            if (!shard.contains(id)) {
                for (auto &[service, model] : models_) {
                    model.forget(upstreamKey(id));
                }
            }
        }
    });
}

void LoadModels::measured(const std::string &service, const FirstTokenSample &sample, SteadyTime now)
{
    const Wire::FirstTokenTime time = encode(sampleKey(service), sample);
    if (learn(time, now)) {
        keepForOthers(time);
    }
}

void LoadModels::take(const Wire::LoadDigestT &digest, SteadyTime now)
{
    for (const Wire::FirstTokenTime &time : digest.first_token_times) {
        if (learn(time, now) && digest.kind == Wire::DigestKind::Report) {
            keepForOthers(time);
        }
    }
}

bool LoadModels::learn(const Wire::FirstTokenTime &time, SteadyTime now)
{
    const auto model = models_.find(time.service());
    if (model == models_.end()) {
        return false;
    }
    model->second.learn(decode(time), now);
    return true;
}

// A digest has room for the samples of about a tenth of a second; further ones would not change the model within that time.
void LoadModels::keepForOthers(const Wire::FirstTokenTime &time)
{
    std::vector<Wire::FirstTokenTime> &due = due_.at(shardOf(time.upstream()));
    if (due.size() < maxDigestSamples) {
        due.push_back(time);
    }
}

const FirstTokenModel &LoadModels::model(const std::string &service) const
{
    static const FirstTokenModel initial;
    const auto found = models_.find(sampleKey(service));
    return found == models_.end() ? initial : found->second;
}

std::vector<Wire::FirstTokenTime> LoadModels::takeDue(unsigned shard)
{
    return std::exchange(due_.at(shard), {});
}

} // namespace Portpaddle
