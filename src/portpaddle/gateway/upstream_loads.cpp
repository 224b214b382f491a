// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/upstream_loads.h"

#include "portpaddle/gateway/load_digest.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Portpaddle {

namespace {

// Before an upstream has shown its speed. Engines of today read about 110 prompt tokens in a millisecond.
constexpr double assumedTokensPerMs = 110;
// Bounds of what is learned from the time of first tokens against its prediction.
constexpr double fastest = 0.6;
constexpr double slowest = 8;
constexpr double assumedServiceMs = 25;
// Part of the memory that cached parts can count on even where requests seem to fill it: estimates of requests run high, since
// few make as many tokens as they may.
constexpr double leastCacheShare = 0.25;
// Smaller parts are not told to other daemons: reading them again costs about a millisecond.
constexpr unsigned smallestToldPart = 256;
// A part that is used again is told again when this share of the memory has been read meanwhile.
constexpr double toldAgainShare = 0.1;
// Told in one round at most; the rest are found by their homes.
constexpr std::size_t maxToldParts = 2 * maxDigestParts;
// Units of tokens in digests, see wire/load.fbs.
constexpr double tokensUnit = 64;
constexpr double memoryUnit = 256;
// An upstream that all requests left is told idle for this long: some digests are lost.
constexpr std::chrono::milliseconds idleTold{ 1'000 };
constexpr double learningRate = 0.1;
// Some dozen streams at an upstream show the time between tokens many times a second.
constexpr double tokenMsLearningRate = 0.03;
// After this time without events the batch has changed.
constexpr std::chrono::milliseconds tokenMsAge{ 1'000 };
constexpr double failureLearningRate = 0.15;
constexpr double failureHalfLifeMs = 3'000;
constexpr unsigned failuresBeforeAvoiding = 2;
constexpr std::chrono::milliseconds shortestAvoidance{ 300 };
constexpr std::chrono::milliseconds longestAvoidance{ 3'000 };
// An upstream that owes answers and sends nothing for this long is taken to hang, until something is heard.
// Learned speeds count only prompts whose reading outweighs the steps around it.
constexpr double smallestMeasuredTokens = 1'000;

double blend(double old, double sample, double rate)
{
    return old == 0 ? sample : old + rate * (sample - old);
}

/// Rounded up, so that a little is not nothing; bounded by what a digest can say.
std::uint16_t inUnits(double tokens, double unit)
{
    return static_cast<std::uint16_t>(std::min(std::ceil(tokens / unit), double{ std::numeric_limits<std::uint16_t>::max() }));
}

std::uint32_t wrapped(double tokens)
{
    return static_cast<std::uint32_t>(static_cast<std::uint64_t>(tokens));
}

LoadShare decodeShare(const Wire::UpstreamShare &share)
{
    return { { tokensUnit * share.urgent(), tokensUnit * share.usual(), tokensUnit * share.patient(), tokensUnit * share.late() },
             memoryUnit * share.memory(),
             double(share.running()) };
}

Wire::UpstreamShare encodeShare(std::uint32_t key, const LoadShare &share, double readTokens)
{
    const auto pending
        = [&share](Urgency urgency) { return inUnits(share.pendingTokens.at(static_cast<std::size_t>(urgency)), tokensUnit); };
    return { key,
             wrapped(readTokens),
             pending(Urgency::Urgent),
             pending(Urgency::Usual),
             pending(Urgency::Patient),
             pending(Urgency::Late),
             inUnits(share.memoryTokens, memoryUnit),
             inUnits(share.running, 1) };
}

double millisBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

std::uint32_t upstreamKey(const std::string &id)
{
    return static_cast<std::uint32_t>(stableHash(id));
}

unsigned shardOf(std::uint32_t upstreamKey)
{
    return upstreamKey % aggregationShards;
}

LoadShare UpstreamLoads::ownShare(const State &state)
{
    return { state.pendingTokens, state.memoryTokens, double(state.running) };
}

UpstreamLoads::State &UpstreamLoads::stateOf(const std::string &upstream)
{
    const auto [entry, added] = states_.try_emplace(upstream);
    if (added) {
        idsByKey_[upstreamKey(upstream)] = upstream;
    }
    return entry->second;
}

void UpstreamLoads::setPolicy(const PolicySettings &policy)
{
    policy_ = policy;
}

void UpstreamLoads::keepOnly(const FleetView &view)
{
    std::erase_if(states_,
                  [&view](const auto &item) { return !view.upstreams.contains(item.first) && item.second.running == 0; });
    std::erase_if(idsByKey_, [this](const auto &item) { return !states_.contains(item.second); });
    for (const auto &[id, record] : view.upstreams) {
        stateOf(id);
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
    const double cacheTokens = cacheRoom(state, spec, now);
    const double kept = state.prefixes.keptTokens(prompt.parts, cacheTokens);
    const double added = std::max(0.0, prompt.promptTokens - kept);
    const double notRead = placement.fetches ? std::max(kept, placement.keptTokens) : kept;
    ticket.pendingTokens = std::max(0.0, prompt.promptTokens - notRead);
    ticket.memoryTokens = added + prompt.maxTokensOut;
    // Fetched parts push older ones out of the memory as those do that are read.
    state.readTokens += added;
    state.prefixes.advance(added);
    notePlaced(state, upstream.id, prompt, cacheTokens);
    state.pendingTokens.at(static_cast<std::size_t>(ticket.urgency)) += ticket.pendingTokens;
    state.memoryTokens += ticket.memoryTokens;
    if (state.running == 0 || state.silentSince <= state.lastHeard) {
        state.silentSince = now;
    }
    ++state.running;
    return ticket;
}

double UpstreamLoads::cacheRoom(const State &state, const ServiceSpec &spec, SteadyTime now)
{
    const double used = state.memoryTokens + state.peers.sum(now).memoryTokens;
    const double total = static_cast<double>(spec.memoryTokens);
    return std::max(leastCacheShare * total, total - used);
}

void UpstreamLoads::notePlaced(State &state, const std::string &upstream, const PromptFacts &prompt, double cacheTokens)
{
    for (std::size_t index = 0; index < prompt.parts.size(); ++index) {
        const PromptPart &part = prompt.parts[index];
        const double age = state.prefixes.note(part.chainHash);
        // The last part belongs to this request alone.
        const bool shared = index + 1 < prompt.parts.size();
        if (!policy_.toldParts || !shared || part.tokens < smallestToldPart || age < toldAgainShare * cacheTokens) {
            continue;
        }
        for (std::deque<Wire::PlacedPart> &queue : placed_) {
            queue.emplace_back(part.chainHash, upstreamKey(upstream), part.tokens);
            if (queue.size() > maxToldParts) {
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
    if (policy_.learnedSlowness && ticket.pendingTokens >= smallestMeasuredTokens && ticket.predictedMs > 0) {
        const double ratio = std::clamp(millisBetween(ticket.sentAt, now) / ticket.predictedMs, fastest, slowest);
        state.slowness *= std::pow(ratio, learningRate);
        state.slowness = std::clamp(state.slowness, fastest, slowest);
    }
}

void UpstreamLoads::streamed(LoadTicket &ticket, std::size_t events, unsigned tokensPerEvent, SteadyTime now)
{
    if (ticket.eventAt) {
        State &state = stateOf(ticket.upstream);
        const double sample = millisBetween(*ticket.eventAt, now) / static_cast<double>(events * std::max(1U, tokensPerEvent));
        const bool fresh = now - state.tokenMsAt < tokenMsAge;
        state.tokenMs = fresh ? blend(state.tokenMs, sample, tokenMsLearningRate) : sample;
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

bool UpstreamLoads::heardSince(const std::string &upstream, SteadyTime time) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && found->second.lastHeard >= time;
}

/// What was seen long ago says little: an upstream that is left for its failures would never be tried again.
double UpstreamLoads::decayedFailureShare(const State &state, SteadyTime now)
{
    return state.failureShare * std::exp2(-millisBetween(state.failureShareAt, now) / failureHalfLifeMs);
}

void UpstreamLoads::failed(State &state, SteadyTime now)
{
    const double share = decayedFailureShare(state, now);
    state.failureShare = share + failureLearningRate * (1 - share);
    state.failureShareAt = now;
    ++state.failuresInRow;
    if (!policy_.avoidFailing || state.failuresInRow < failuresBeforeAvoiding) {
        return;
    }
    const unsigned doublings = std::min(state.failuresInRow - failuresBeforeAvoiding, 4U);
    state.avoidUntil = now + std::min(shortestAvoidance * (1U << doublings), longestAvoidance);
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
        state.serviceMs = blend(state.serviceMs, millisBetween(ticket.sentAt, now), learningRate);
        state.lastHeard = now;
    } else if (outcome == LoadOutcome::Failed || (outcome == LoadOutcome::Cancelled && wasSilent)) {
        failed(state, now);
    }
}

void UpstreamLoads::connectFailed(const std::string &upstream, SteadyTime now)
{
    failed(stateOf(upstream), now);
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
            state->prefixes.advance(state->peers.take(digest.daemon, decodeShare(share), share.read_tokens(), now));
        }
    }
    notePlacedByOthers(digest);
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
        if (state->reported.aggregator == digest.daemon) {
            others -= state->reported.share;
            readTokens -= state->reported.readTokens;
        }
        state->prefixes.advance(state->peers.take(digest.daemon, others, readTokens, now));
    }
    notePlacedByOthers(digest);
}

void UpstreamLoads::notePlacedByOthers(const Wire::LoadDigestT &digest)
{
    for (const Wire::PlacedPart &part : digest.placed) {
        if (State *state = stateByKey(part.upstream())) {
            state->prefixes.note(part.chain());
        }
    }
}

void UpstreamLoads::noteReported(const std::string &aggregator, unsigned shard, const std::vector<Wire::UpstreamShare> &shares)
{
    for (auto &[id, state] : states_) {
        if (shardOf(upstreamKey(id)) == shard) {
            state.reported = { aggregator, {}, wrapped(state.readTokens) };
        }
    }
    for (const Wire::UpstreamShare &share : shares) {
        if (State *state = stateByKey(share.key())) {
            state->reported.share = decodeShare(share);
        }
    }
}

std::vector<Wire::UpstreamShare> UpstreamLoads::shares(SteadyTime now) const
{
    std::vector<Wire::UpstreamShare> result;
    for (const auto &[id, state] : states_) {
        if (state.running == 0 && now - state.lastEnd > idleTold) {
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
            state.busyAt = now;
        }
        // Most upstreams of a fleet with little load are idle, and bytes between data centres are paid for.
        if (now - state.busyAt <= idleTold) {
            result.push_back(encodeShare(key, sum, state.prefixes.clock()));
        }
    }
    return result;
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
    candidate.tokensPerMs = assumedTokensPerMs;
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
    candidate.cachedTokens = state.prefixes.keptTokens(prompt.parts, cacheRoom(state, spec, now));
    candidate.slowness = state.slowness;
    candidate.tokenMs = now - state.tokenMsAt < tokenMsAge ? state.tokenMs : 0;
    candidate.serviceMs = state.serviceMs > 0 ? state.serviceMs : assumedServiceMs;
    candidate.failureShare = decayedFailureShare(state, now);
    if (now < state.avoidUntil || isSilent(state, now)) {
        candidate.exclusionReason = ExclusionReason::Unhealthy;
    }
    return candidate;
}

} // namespace Portpaddle
