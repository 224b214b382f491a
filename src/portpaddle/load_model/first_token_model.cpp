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
// Longer than the time between two samples of an upstream in use, shorter than a caller notices that an upstream is unused.
constexpr std::chrono::duration<double> slownessDecayTime{ 3 };
// A sample that is further off than this factor says no more about the upstream than one at this factor.
constexpr double maxLogRatio = 1.1;
constexpr double minFixedMs = 1;
constexpr double maxFixedMs = 1'000;
// From 2,000 tokens in a millisecond to one.
constexpr double minMsPerToken = 0.0005;
constexpr double maxMsPerToken = 1;
// From a third to eight times as slow as the service's other upstreams.
constexpr double minLogSlowness = -1.1;
constexpr double maxLogSlowness = 2.1;
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

// Each sample moves both parameters by their part in the prediction. Logarithms keep the rare prompt that waits behind load which
// nobody knew of from outweighing all others.
void FirstTokenModel::learn(const FirstTokenSample &sample, SteadyTime now)
{
    if (!isPlausible(sample)) {
        return;
    }
    const double logFactor = logSlowness(sample.upstream, now);
    const double predicted = (fixedMs_ + msPerToken_ * sample.tokens) * std::exp(logFactor);
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
    const double learned = logFactor + upstreamLearningRate * error;
    keepSlowness(sample.upstream, std::clamp(learned, minLogSlowness, maxLogSlowness), now);
}

/// Other daemons name the upstreams of their samples, and those of upstreams that are gone may arrive late.
void FirstTokenModel::keepSlowness(std::uint32_t upstream, double logFactor, SteadyTime now)
{
    if (slowness_.size() >= maxKeptUpstreams && !slowness_.contains(upstream)) {
        std::erase_if(slowness_, [now](const auto &entry) { return now - entry.second.at > slownessDecayTime; });
    }
    if (slowness_.size() < maxKeptUpstreams || slowness_.contains(upstream)) {
        slowness_[upstream] = { logFactor, now };
    }
}

std::size_t FirstTokenModel::keptUpstreams() const
{
    return slowness_.size();
}

/// An upstream that looks slow is avoided and gives no samples. What is known of it fades, so that it is tried again.
double FirstTokenModel::logSlowness(std::uint32_t upstream, SteadyTime now) const
{
    const auto found = slowness_.find(upstream);
    if (found == slowness_.end()) {
        return 0;
    }
    const std::chrono::duration<double> age = now - found->second.at;
    return found->second.logFactor * std::exp(-std::max(0.0, age / slownessDecayTime));
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

double FirstTokenModel::slowness(std::uint32_t upstream, SteadyTime now) const
{
    return std::exp(logSlowness(upstream, now));
}

double FirstTokenModel::marginMs(Urgency urgency) const
{
    return marginsMs_.at(static_cast<std::size_t>(urgency));
}

} // namespace Portpaddle
