// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The load model of each service, learned from the samples of all daemons of the region.
#pragma once

#include "portpaddle/load_model/first_token_model.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

class ServiceMap;

/// A sample with the key of its service, as digests name it.
struct ServiceSample
{
    std::uint32_t service = 0;
    FirstTokenSample sample;
};

/// Keeps one model for each service. Must only be used from one event loop.
class LoadModels
{
public:
    /// Removes the models of services that @p services does not have.
    void setServices(const ServiceMap &services);
    /// Learns from a request of this daemon and keeps the sample for the other daemons.
    void measured(const std::string &service, const FirstTokenSample &sample);
    /// Learns from a sample of another daemon; ignored if the service is unknown.
    void learn(const ServiceSample &sample);
    void forgetUpstream(std::uint32_t upstream);
    const FirstTokenModel &model(const std::string &service) const;
    /// Returns the samples of this daemon since the last call; only the first where there are too many.
    std::vector<ServiceSample> takeMeasured();

private:
    std::unordered_map<std::uint32_t, FirstTokenModel> models_;
    std::vector<ServiceSample> measured_;
};

} // namespace Portpaddle
