// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The load model of each service, learned from the samples of all daemons of the region.
#pragma once

#include "portpaddle/load_model/first_token_model.h"
#include "portpaddle/placement/upstream_shares.h"
#include "portpaddle/wire/load_generated.h"

#include <array>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

class ServiceMap;
struct FleetView;

/// Maximum number of samples in one digest.
inline constexpr std::size_t maxDigestSamples = 16;

/// Keeps one model for each service that is a model engine. Must only be used from one event loop.
class LoadModels
{
public:
    /// Removes the models of services that @p services does not have.
    void setServices(const ServiceMap &services);
    /// Removes what is known of upstreams that are not in @p view any more; @p earlier is the view of the last call.
    void follow(const FleetView &view, const FleetView &earlier);
    /// Learns from a request of this daemon and keeps the sample for the other daemons.
    void measured(const std::string &service, const FirstTokenSample &sample, SteadyTime now);
    /// Learns from the samples of another daemon. Those of a Report digest are kept for the daemons of the region.
    void take(const Wire::LoadDigestT &digest, SteadyTime now);
    const FirstTokenModel &model(const std::string &service) const;
    /// Returns the samples about upstreams of @p shard that are still to be sent.
    std::vector<Wire::FirstTokenTime> takeDue(unsigned shard);

private:
    /// Learns from @p time; returns false if its service is unknown.
    bool learn(const Wire::FirstTokenTime &time, SteadyTime now);
    void keepForOthers(const Wire::FirstTokenTime &time);

    std::unordered_map<std::uint32_t, FirstTokenModel> models_;
    /// Samples to send, by shard of their upstreams.
    std::array<std::vector<Wire::FirstTokenTime>, aggregationShards> due_;
};

} // namespace Portpaddle
