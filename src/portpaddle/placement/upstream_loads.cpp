// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/upstream_loads.h"

#include "portpaddle/placement/load_digest.h"
#include "portpaddle/placement/upstream_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Portpaddle {

namespace {

constexpr double assumedServiceMs = 25;
// Share of the memory that is available for cached parts even where requests seem to fill it: estimates of requests run high,
// since few generate as many tokens as they may.
constexpr double minCacheShare = 0.25;
// Smaller parts are not announced to other daemons: prefilling them again costs about a millisecond.
constexpr unsigned minAnnouncedPartTokens = 256;
// A part that is used again is announced again when this share of the memory has been prefilled meanwhile.
constexpr double reannounceAgeShare = 0.1;
// Upper bound for one round; other daemons find the remaining parts by prefix affinity.
constexpr std::size_t maxAnnouncedParts = 2 * maxDigestParts;
// An upstream without requests is reported as idle for this long, since some digests are lost.
constexpr std::chrono::milliseconds idleReportTime{ 1'000 };
constexpr double learningRate = 0.1;
// Weight of a new sample in the average time between tokens; some dozen streams at an upstream give a sample many times a second.
constexpr double tokenMsLearningRate = 0.03;
// After this time without events the batch has changed.
constexpr std::chrono::milliseconds maxTokenMsAge{ 1'000 };
constexpr double failureLearningRate = 0.15;
constexpr double failureHalfLifeMs = 3'000;
constexpr unsigned failuresBeforeAvoiding = 2;
constexpr std::chrono::milliseconds minAvoidance{ 300 };
constexpr std::chrono::milliseconds maxAvoidance{ 3'000 };

double movingAverage(double old, double sample, double rate)
{
    return old == 0 ? sample : old + rate * (sample - old);
}

double millisBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

LoadShare UpstreamLoads::ownShare(const State &state)
{
    return { state.pendingTokens, state.memoryTokens, double(state.running) };
}

UpstreamLoads::State &UpstreamLoads::stateOf(const std::string &upstream)
{
    return states_[upstream];
}

void UpstreamLoads::setPolicy(const PolicySettings &policy)
{
    policy_ = policy;
}

void UpstreamLoads::keepOnly(const FleetView &view)
{
    std::vector<std::string> gone;
    for (const auto &[key, id] : idsByKey_) {
        if (!view.upstreams.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        removeListed(id);
    }
    for (const auto &[id, record] : view.upstreams) {
        addListed(id);
    }
}

void UpstreamLoads::follow(const FleetView &view, const FleetView &earlier)
{
    view.upstreams.forEachChangedShard(earlier.upstreams, [this](const auto &shard, const auto &earlierShard) {
        for (const auto &[id, record] : earlierShard) {
            if (!shard.contains(id)) {
                removeListed(id);
            }
        }
        for (const auto &[id, record] : shard) {
            addListed(id);
        }
    });
}

void UpstreamLoads::addListed(const std::string &upstream)
{
    idsByKey_[upstreamKey(upstream)] = upstream;
    unlisted_.erase(upstream);
}

void UpstreamLoads::removeListed(const std::string &upstream)
{
    idsByKey_.erase(upstreamKey(upstream));
    const auto state = states_.find(upstream);
    if (state == states_.end()) {
        return;
    }
    if (state->second.running > 0) {
        unlisted_.insert(upstream);
    } else {
        states_.erase(state);
    }
}

LoadTicket UpstreamLoads::sent(const UpstreamRecord &upstream, const ServiceSpec &spec, const PromptFacts &prompt,
                               const Placement &placement, SteadyTime now)
{
    State &state = stateOf(upstream.id);
    LoadTicket ticket;
    ticket.upstream = upstream.id;
    ticket.sentAt = now;
    ticket.predictedMs = placement.predictedMs;
    ticket.urgency = placement.urgency;
    ticket.reading = true;
    const double cacheTokens = cacheCapacity(state, spec, now);
    const double kept = state.prefixes.keptTokens(prompt.parts, cacheTokens);
    const double added = std::max(0.0, prompt.promptTokens - kept);
    const double available = placement.fetches ? std::max(kept, placement.keptTokens) : kept;
    ticket.pendingTokens = std::max(0.0, prompt.promptTokens - available);
    ticket.memoryTokens = added + prompt.maxTokensOut;
    // Fetched parts evict older ones from the memory just like parts that are prefilled.
    state.readTokens += added;
    state.prefixes.advance(added);
    recordPlacedParts(state, upstream.id, prompt, cacheTokens);
    state.pendingTokens.at(static_cast<std::size_t>(ticket.urgency)) += ticket.pendingTokens;
    state.memoryTokens += ticket.memoryTokens;
    if (state.running == 0 || state.silentSince <= state.lastHeard) {
        state.silentSince = now;
    }
    ++state.running;
    return ticket;
}

double UpstreamLoads::cacheCapacity(const State &state, const ServiceSpec &spec, SteadyTime now)
{
    const double used = state.memoryTokens + state.peers.sum(now).memoryTokens;
    const double total = static_cast<double>(spec.memoryTokens);
    return std::max(minCacheShare * total, total - used);
}

void UpstreamLoads::recordPlacedParts(State &state, const std::string &upstream, const PromptFacts &prompt, double cacheTokens)
{
    for (std::size_t index = 0; index < prompt.parts.size(); ++index) {
        const PromptPart &part = prompt.parts[index];
        const double age = state.prefixes.note(part.chainHash);
        // The last part belongs to this request alone.
        const bool shared = index + 1 < prompt.parts.size();
        if (!policy_.announceParts || !shared || part.tokens < minAnnouncedPartTokens || age < reannounceAgeShare * cacheTokens) {
            continue;
        }
        for (std::deque<Wire::PlacedPart> &queue : placed_) {
            queue.emplace_back(part.chainHash, upstreamKey(upstream), part.tokens);
            if (queue.size() > maxAnnouncedParts) {
                queue.pop_front();
            }
        }
    }
}

void UpstreamLoads::finishReading(State &state, LoadTicket &ticket)
{
    if (!ticket.reading) {
        return;
    }
    ticket.reading = false;
    double &pending = state.pendingTokens.at(static_cast<std::size_t>(ticket.urgency));
    pending = std::max(0.0, pending - ticket.pendingTokens);
}

void UpstreamLoads::firstToken(LoadTicket &ticket, SteadyTime now)
{
    if (!ticket.reading) {
        return;
    }
    State &state = stateOf(ticket.upstream);
    finishReading(state, ticket);
    heard(ticket.upstream, now);
}

void UpstreamLoads::streamed(LoadTicket &ticket, std::size_t events, unsigned tokensPerEvent, SteadyTime now)
{
    if (ticket.eventAt) {
        State &state = stateOf(ticket.upstream);
        const double sample = millisBetween(*ticket.eventAt, now) / static_cast<double>(events * std::max(1U, tokensPerEvent));
        const bool fresh = now - state.tokenMsAt < maxTokenMsAge;
        state.tokenMs = fresh ? movingAverage(state.tokenMs, sample, tokenMsLearningRate) : sample;
        state.tokenMsAt = now;
    }
    ticket.eventAt = now;
}

void UpstreamLoads::heard(const std::string &upstream, SteadyTime now)
{
    stateOf(upstream).lastHeard = now;
}

bool UpstreamLoads::isSilent(const State &state, SteadyTime now) const
{
    return policy_.avoidSilent && state.running > 0 && state.silentSince > state.lastHeard
        && now - state.silentSince > upstreamSilenceBound;
}

unsigned UpstreamLoads::running(const std::string &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : found->second.running;
}

bool UpstreamLoads::heardSince(const std::string &upstream, SteadyTime time) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && found->second.lastHeard >= time;
}

/// Old failures lose weight: an upstream that is avoided for its failures would otherwise never be tried again.
double UpstreamLoads::decayedFailureShare(const State &state, SteadyTime now)
{
    return state.failureShare * std::exp2(-millisBetween(state.failureShareAt, now) / failureHalfLifeMs);
}

void UpstreamLoads::recordFailure(State &state, SteadyTime now)
{
    const double share = decayedFailureShare(state, now);
    state.failureShare = share + failureLearningRate * (1 - share);
    state.failureShareAt = now;
    ++state.failuresInRow;
    if (!policy_.avoidFailing || state.failuresInRow < failuresBeforeAvoiding) {
        return;
    }
    const unsigned doublings = std::min(state.failuresInRow - failuresBeforeAvoiding, 4U);
    state.avoidUntil = now + std::min(minAvoidance * (1U << doublings), maxAvoidance);
}

void UpstreamLoads::ended(LoadTicket &ticket, LoadOutcome outcome, SteadyTime now)
{
    State &state = stateOf(ticket.upstream);
    finishReading(state, ticket);
    state.memoryTokens = std::max(0.0, state.memoryTokens - ticket.memoryTokens);
    const bool wasSilent = isSilent(state, now);
    state.running -= state.running > 0 ? 1 : 0;
    state.lastEnd = now;
    if (outcome == LoadOutcome::Answered) {
        state.failuresInRow = 0;
        state.failureShare = (1 - failureLearningRate) * decayedFailureShare(state, now);
        state.failureShareAt = now;
        state.serviceMs = movingAverage(state.serviceMs, millisBetween(ticket.sentAt, now), learningRate);
        state.lastHeard = now;
    } else if (outcome == LoadOutcome::Failed || (outcome == LoadOutcome::Cancelled && wasSilent)) {
        recordFailure(state, now);
    }
    if (state.running == 0 && unlisted_.erase(ticket.upstream) > 0) {
        states_.erase(ticket.upstream);
    }
}

void UpstreamLoads::connectFailed(const std::string &upstream, SteadyTime now)
{
    recordFailure(stateOf(upstream), now);
}

UpstreamLoads::State *UpstreamLoads::stateByKey(std::uint32_t key)
{
    const auto id = idsByKey_.find(key);
    return id == idsByKey_.end() ? nullptr : &states_[id->second];
}

void UpstreamLoads::applyDigest(const Wire::LoadDigestT &digest, SteadyTime now)
{
    for (const Wire::UpstreamShare &share : digest.upstreams) {
        if (State *state = stateByKey(share.key())) {
            state->prefixes.advance(state->peers.update(digest.daemon, decodeShare(share), share.read_tokens(), now));
        }
    }
    applyPlacedParts(digest);
}

void UpstreamLoads::applySums(const Wire::LoadDigestT &digest, SteadyTime now)
{
    for (const Wire::UpstreamShare &share : digest.upstreams) {
        State *state = stateByKey(share.key());
        if (state == nullptr) {
            continue;
        }
        LoadShare others = decodeShare(share);
        std::uint32_t readTokens = share.read_tokens();
        if (reports_.at(shardOf(share.key())).aggregator == digest.daemon) {
            others -= state->reported.share;
            readTokens -= state->reported.readTokens;
        }
        state->prefixes.advance(state->peers.update(digest.daemon, others, readTokens, now));
    }
    applyPlacedParts(digest);
}

void UpstreamLoads::applyPlacedParts(const Wire::LoadDigestT &digest)
{
    for (const Wire::PlacedPart &part : digest.placed) {
        if (State *state = stateByKey(part.upstream())) {
            state->prefixes.note(part.chain());
        }
    }
}

void UpstreamLoads::noteReported(const std::string &aggregator, unsigned shard, const std::vector<Wire::UpstreamShare> &shares)
{
    // Upstreams that are not reported have been idle for a while, so that the tokens reported for them last are still right.
    ShardReport &report = reports_.at(shard);
    for (const std::uint32_t key : report.keys) {
        if (State *state = stateByKey(key)) {
            state->reported.share = {};
        }
    }
    report.aggregator = aggregator;
    report.keys.clear();
    for (const Wire::UpstreamShare &share : shares) {
        if (State *state = stateByKey(share.key())) {
            state->reported = { decodeShare(share), share.read_tokens() };
            report.keys.push_back(share.key());
        }
    }
}

std::vector<Wire::UpstreamShare> UpstreamLoads::shares(SteadyTime now) const
{
    std::vector<Wire::UpstreamShare> result;
    for (const auto &[id, state] : states_) {
        if (state.running == 0 && now - state.lastEnd > idleReportTime) {
            continue;
        }
        result.push_back(encodeShare(upstreamKey(id), ownShare(state), state.readTokens));
    }
    return result;
}

std::vector<Wire::UpstreamShare> UpstreamLoads::sums(unsigned shard, SteadyTime now)
{
    std::vector<Wire::UpstreamShare> result;
    for (auto &[id, state] : states_) {
        const std::uint32_t key = upstreamKey(id);
        if (shardOf(key) != shard) {
            continue;
        }
        LoadShare sum = ownShare(state);
        sum += state.peers.sum(now);
        if (sum.running > 0) {
            state.lastBusyAt = now;
        }
        // Most upstreams of a lightly loaded fleet are idle, and traffic between data centres is paid for.
        if (now - state.lastBusyAt <= idleReportTime) {
            result.push_back(encodeShare(key, sum, state.prefixes.clock()));
        }
    }
    return mostLoaded(std::move(result));
}

std::vector<Wire::PlacedPart> UpstreamLoads::takePlaced(DigestReach reach)
{
    std::deque<Wire::PlacedPart> &queue = placed_.at(static_cast<std::size_t>(reach));
    std::vector<Wire::PlacedPart> result(queue.begin(), queue.end());
    queue.clear();
    return result;
}

UpstreamCandidate UpstreamLoads::describe(const UpstreamRecord &upstream, const ServiceSpec &spec, const PromptFacts &prompt,
                                          SteadyTime now) const
{
    UpstreamCandidate candidate;
    candidate.slots = std::max(1U, upstream.slots);
    candidate.memoryTotal = static_cast<double>(spec.memoryTokens);
    candidate.serviceMs = assumedServiceMs;
    const auto found = states_.find(upstream.id);
    if (found == states_.end()) {
        return candidate;
    }
    const State &state = found->second;
    LoadShare load = ownShare(state);
    load += state.peers.sum(now);
    candidate.pendingTokens = load.pendingTokens;
    candidate.running = load.running;
    candidate.memoryUsed = load.memoryTokens;
    candidate.cachedTokens = state.prefixes.keptTokens(prompt.parts, cacheCapacity(state, spec, now));
    candidate.tokenMs = now - state.tokenMsAt < maxTokenMsAge ? state.tokenMs : 0;
    candidate.serviceMs = state.serviceMs > 0 ? state.serviceMs : assumedServiceMs;
    candidate.failureShare = decayedFailureShare(state, now);
    if (now < state.avoidUntil || isSilent(state, now)) {
        candidate.exclusionReason = ExclusionReason::Unhealthy;
    }
    return candidate;
}

} // namespace Portpaddle
