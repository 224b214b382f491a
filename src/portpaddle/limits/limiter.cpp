// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/limiter.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

/// The capacity of a bucket is this many seconds of its rate, and at least one request.
constexpr double burstSeconds = 1;
/// Demand is measured over windows of this length and smoothed exponentially.
constexpr Millis demandWindow{ 1'000 };
constexpr double smoothing = 0.5;
constexpr double negligibleDemand = 0.01;
constexpr Millis longestRetryAfter{ 30'000 };

Error limitReached(std::string_view what, double limit, double missingSeconds)
{
    const auto milliseconds = static_cast<std::int64_t>(std::ceil(missingSeconds * 1000));
    const Millis retryAfter = std::clamp(Millis{ milliseconds }, Millis{ 1 }, longestRetryAfter);
    return Error{ ErrorCode::LimitReached, fmt::format("the organisation's limit of {} {} is reached", limit, what),
                  RunState::NotRun, retryAfter };
}

} // namespace

Permit::Permit(Limiter &limiter, std::string organisation) : limiter_(&limiter), organisation_(std::move(organisation))
{
}

Permit::Permit(Permit &&other) noexcept
    : limiter_(std::exchange(other.limiter_, nullptr)), organisation_(std::move(other.organisation_))
{
}

Permit &Permit::operator=(Permit &&other) noexcept
{
    std::swap(limiter_, other.limiter_);
    std::swap(organisation_, other.organisation_);
    return *this;
}

Permit::~Permit()
{
    if (limiter_ != nullptr) {
        limiter_->release(organisation_);
    }
}

void Limiter::Bucket::refill(double rate, double seconds)
{
    const double capacity = std::max(1.0, rate * burstSeconds);
    level = started ? std::min(capacity, level + rate * seconds) : capacity;
    started = true;
}

Result<Permit> Limiter::admit(const std::string &organisation, const RequestPolicy &policy, double tokens, Millis now)
{
    const std::lock_guard lock(mutex_);
    State &state = stateOf(organisation, now);
    state.arrivals += 1;
    const double seconds = std::max(0.0, static_cast<double>((now - state.refilledAt).count()) / 1000);
    state.refilledAt = now;
    const double share = state.share.share();
    const double requestRate = policy.maxRequestsPerSecond * share;
    const double tokenRate = policy.maxTokensPerSecond * share;
    state.requests.refill(requestRate, seconds);
    state.tokens.refill(tokenRate, seconds);
    if (policy.maxConcurrent > 0 && state.running >= std::max(1.0, std::floor(policy.maxConcurrent * share))) {
        return limitReached("requests in progress", policy.maxConcurrent, burstSeconds);
    }
    if (requestRate > 0 && state.requests.level < 1) {
        return limitReached("requests a second", policy.maxRequestsPerSecond, (1 - state.requests.level) / requestRate);
    }
    // A single request may need more tokens than the bucket holds: it is admitted when the bucket is full and leaves a debt.
    const double needed = std::min(tokens, std::max(1.0, tokenRate * burstSeconds));
    if (tokenRate > 0 && state.tokens.level < needed) {
        return limitReached("tokens a second", policy.maxTokensPerSecond, (needed - state.tokens.level) / tokenRate);
    }
    state.requests.level -= 1;
    state.tokens.level -= tokens;
    ++state.running;
    return Permit(*this, organisation);
}

void Limiter::charge(const std::string &organisation, double tokens)
{
    const std::lock_guard lock(mutex_);
    const auto found = states_.find(organisation);
    if (found != states_.end()) {
        found->second.tokens.level -= tokens;
    }
}

void Limiter::update(const std::vector<OthersDemand> &others, unsigned daemons, bool partitioned, Millis now)
{
    const std::lock_guard lock(mutex_);
    daemons_ = daemons;
    partitioned_ = partitioned;
    std::unordered_map<std::string, double> byOrganisation;
    for (const OthersDemand &other : others) {
        byOrganisation[other.organisation] += other.requestsPerSecond;
    }
    for (auto &[organisation, state] : states_) {
        state.share.update(ShareInput{ state.demand, byOrganisation[organisation], daemons, partitioned }, now);
    }
}

std::vector<OwnDemand> Limiter::demand(Millis now)
{
    const std::lock_guard lock(mutex_);
    std::vector<OwnDemand> result;
    for (auto &[organisation, state] : states_) {
        const Millis elapsed = now - state.measuredAt;
        if (elapsed >= demandWindow) {
            const double rate = state.arrivals * 1000 / static_cast<double>(elapsed.count());
            state.demand = state.demand * smoothing + rate * (1 - smoothing);
            state.arrivals = 0;
            state.measuredAt = now;
        }
        if (state.demand > negligibleDemand) {
            result.push_back(OwnDemand{ organisation, state.demand });
        }
    }
    std::sort(result.begin(), result.end(),
              [](const OwnDemand &left, const OwnDemand &right) { return left.requestsPerSecond > right.requestsPerSecond; });
    return result;
}

double Limiter::shareOf(const std::string &organisation)
{
    const std::lock_guard lock(mutex_);
    const auto found = states_.find(organisation);
    return found == states_.end() ? 1.0 / daemons_ : found->second.share.share();
}

Limiter::State &Limiter::stateOf(const std::string &organisation, Millis now)
{
    const auto [position, isNew] = states_.try_emplace(organisation);
    State &state = position->second;
    if (isNew) {
        state.refilledAt = now;
        state.measuredAt = now;
        state.share.update(ShareInput{ 0, 0, daemons_, partitioned_ }, now);
    }
    return state;
}

void Limiter::release(const std::string &organisation)
{
    const std::lock_guard lock(mutex_);
    const auto found = states_.find(organisation);
    if (found != states_.end() && found->second.running > 0) {
        --found->second.running;
    }
}

} // namespace Portpaddle
