// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/load_model/first_token_model.h"

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

// Some hundred samples arrive in a second from all daemons of a region, so that the model follows a change within a second.
constexpr double serviceLearningRate = 0.02;
// An upstream gives some samples a second. A higher rate would follow the chance of a single prompt that waits behind a long one.
constexpr double upstreamLearningRate = 0.05;
// Draws an upstream back to its service, since only the ratio between upstreams is to be kept here.
constexpr double upstreamReturnRate = 0.005;
// A sample that is further off than this factor says no more about the upstream than one at this factor.
constexpr double maxLogRatio = 1.1;
constexpr double minFixedMs = 1;
constexpr double maxFixedMs = 1'000;
// From 2,000 tokens in a millisecond to one.
constexpr double minMsPerToken = 0.0005;
constexpr double maxMsPerToken = 1;
constexpr double minSlowness = 0.3;
constexpr double maxSlowness = 8;
// Of the requests that are admitted close to their target, this share is to meet it. The error is a time, not a share of the
// prediction: it is the prefill of prompts that other daemons sent since their last digests.
constexpr double marginQuantile = 0.75;
constexpr double marginStepMs = 5;
constexpr double maxMarginMs = 1'000;

bool isPlausible(const FirstTokenSample &sample)
{
    return sample.ms > 0 && sample.ms <= maxSampleMs && sample.tokens >= 0 && sample.tokens <= maxSampleTokens;
}

} // namespace

double FirstTokenModel::predictedMs(const FirstTokenSample &sample) const
{
    return (fixedMs_ + msPerToken_ * sample.tokens) * slowness(sample.upstream);
}

// Each sample moves both parameters by their part in the prediction. Logarithms keep the rare prompt that waits behind load which
// nobody knew of from outweighing all others.
void FirstTokenModel::learn(const FirstTokenSample &sample)
{
    if (!isPlausible(sample)) {
        return;
    }
    const double predicted = predictedMs(sample);
    if (sample.unfinished && sample.ms < predicted) {
        return;
    }
    double &marginMs = marginsMs_.at(static_cast<std::size_t>(sample.urgency));
    const bool within = !sample.unfinished && sample.ms <= predicted + marginMs;
    marginMs = std::clamp(marginMs + marginStepMs * (marginQuantile - (within ? 1 : 0)), 0.0, maxMarginMs);
    const double error = std::clamp(std::log(sample.ms / predicted), -maxLogRatio, maxLogRatio);
    const double fixedPart = fixedMs_ / (fixedMs_ + msPerToken_ * sample.tokens);
    fixedMs_ = std::clamp(fixedMs_ * std::exp(serviceLearningRate * fixedPart * error), minFixedMs, maxFixedMs);
    msPerToken_ = std::clamp(msPerToken_ * std::exp(serviceLearningRate * (1 - fixedPart) * error), minMsPerToken, maxMsPerToken);
    double &slowness = slowness_.try_emplace(sample.upstream, 1.0).first->second;
    slowness = std::pow(slowness, 1 - upstreamReturnRate) * std::exp(upstreamLearningRate * error);
    slowness = std::clamp(slowness, minSlowness, maxSlowness);
}

void FirstTokenModel::forget(std::uint32_t upstream)
{
    slowness_.erase(upstream);
}

double FirstTokenModel::fixedMs() const
{
    return fixedMs_;
}

double FirstTokenModel::msPerToken() const
{
    return msPerToken_;
}

double FirstTokenModel::slowness(std::uint32_t upstream) const
{
    const auto found = slowness_.find(upstream);
    return found == slowness_.end() ? 1 : found->second;
}

double FirstTokenModel::marginMs(Urgency urgency) const
{
    return marginsMs_.at(static_cast<std::size_t>(urgency));
}

} // namespace Portpaddle
