// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/load_model/load_models.h"

#include "portpaddle/gateway/service_map.h"
#include "portpaddle/routing/rendezvous.h"

#include <set>
#include <utility>

namespace Portpaddle {

namespace {

// What a busy daemon measures between two digests; more would not change the model within that time.
constexpr std::size_t maxKeptSamples = 64;

std::uint32_t sampleKey(const std::string &service)
{
    return static_cast<std::uint32_t>(stableHash(service));
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

void LoadModels::measured(const std::string &service, const FirstTokenSample &sample)
{
    const ServiceSample own{ sampleKey(service), sample };
    if (!models_.contains(own.service)) {
        return;
    }
    learn(own);
    if (measured_.size() < maxKeptSamples) {
        measured_.push_back(own);
    }
}

void LoadModels::learn(const ServiceSample &sample)
{
    const auto model = models_.find(sample.service);
    if (model != models_.end()) {
        model->second.learn(sample.sample);
    }
}

void LoadModels::forgetUpstream(std::uint32_t upstream)
{
    for (auto &[service, model] : models_) {
        model.forget(upstream);
    }
}

const FirstTokenModel &LoadModels::model(const std::string &service) const
{
    static const FirstTokenModel initial;
    const auto found = models_.find(sampleKey(service));
    return found == models_.end() ? initial : found->second;
}

std::vector<ServiceSample> LoadModels::takeMeasured()
{
    return std::exchange(measured_, {});
}

} // namespace Portpaddle
