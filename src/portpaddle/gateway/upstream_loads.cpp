// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/upstream_loads.h"

#include "portpaddle/gateway/load_digest.h"

#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

namespace Portpaddle {

namespace {

// Before an upstream has shown its speed. Engines of today read about 110 prompt tokens in a millisecond.
constexpr double assumedTokensPerMs = 100;
constexpr double slowestTokensPerMs = 5;
constexpr double assumedServiceMs = 25;
// Part of the memory that cached parts can count on; the rest serves running requests.
constexpr double cacheShare = 0.7;
// Digests come several times a second; a peer that was silent for this long is not counted any more.
constexpr std::chrono::milliseconds peerShareAge{ 1'500 };
constexpr double learningRate = 0.1;
constexpr double failureLearningRate = 0.15;
constexpr unsigned failuresBeforeAvoiding = 2;
constexpr std::chrono::milliseconds shortestAvoidance{ 300 };
constexpr std::chrono::milliseconds longestAvoidance{ 3'000 };
// An upstream that owes answers and sends nothing for this long is taken to hang, until something is heard.
// Learned speeds count only prompts whose reading outweighs the steps around it.
constexpr double smallestMeasuredTokens = 1'000;
constexpr double fixedStepMs = 8;

double blend(double old, double sample, double rate)
{
    return old == 0 ? sample : old + rate * (sample - old);
}

double millisBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

std::uint64_t upstreamKey(const std::string &id)
{
    return stableHash(id);
}

UpstreamLoads::State &UpstreamLoads::stateOf(const std::string &upstream)
{
    const auto [entry, added] = states_.try_emplace(upstream);
    if (added) {
        idsByHash_[upstreamKey(upstream)] = upstream;
    }
    return entry->second;
}

void UpstreamLoads::keepOnly(const FleetView &view)
{
    std::erase_if(states_,
                  [&view](const auto &item) { return !view.upstreams.contains(item.first) && item.second.running == 0; });
    std::erase_if(idsByHash_, [this](const auto &item) { return !states_.contains(item.second); });
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
    const double kept = state.prefixes.keptTokens(prompt.parts, cacheShare * static_cast<double>(spec.memoryTokens));
    ticket.pendingTokens = std::max(0.0, prompt.promptTokens - kept);
    ticket.memoryTokens = prompt.promptTokens - kept + prompt.mostTokensOut;
    for (const PromptPart &part : prompt.parts) {
        state.prefixes.note(part.chainHash, part.tokens);
    }
    // The last part belongs to this request alone.
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
        const Wire::PlacedPart part(upstreamKey(upstream.id), prompt.parts[index].chainHash, prompt.parts[index].tokens);
        for (std::deque<Wire::PlacedPart> &queue : placed_) {
            queue.push_back(part);
        }
    }
    state.pendingTokens.at(static_cast<std::size_t>(ticket.urgency)) += ticket.pendingTokens;
    state.memoryTokens += ticket.memoryTokens;
    if (state.running == 0 || state.silentSince <= state.lastHeard) {
        state.silentSince = now;
    }
    ++state.running;
    return ticket;
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
    const double took = millisBetween(ticket.sentAt, now) - fixedStepMs;
    if (ticket.pendingTokens >= smallestMeasuredTokens && state.running == 1 && took > 0) {
        const double speed = std::clamp(ticket.pendingTokens / took, slowestTokensPerMs, 2 * assumedTokensPerMs);
        state.tokensPerMs = blend(state.tokensPerMs == 0 ? assumedTokensPerMs : state.tokensPerMs, speed, learningRate);
    }
}

void UpstreamLoads::heard(const std::string &upstream, SteadyTime now)
{
    stateOf(upstream).lastHeard = now;
}

bool UpstreamLoads::isSilent(const State &state, SteadyTime now)
{
    return state.running > 0 && state.silentSince > state.lastHeard && now - state.silentSince > upstreamSilenceBound;
}

bool UpstreamLoads::heardSince(const std::string &upstream, SteadyTime time) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && found->second.lastHeard >= time;
}

void UpstreamLoads::failed(State &state, SteadyTime now)
{
    state.failureShare += failureLearningRate * (1 - state.failureShare);
    ++state.failuresInRow;
    if (state.failuresInRow < failuresBeforeAvoiding) {
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
    if (outcome == LoadOutcome::Answered) {
        state.failuresInRow = 0;
        state.failureShare -= failureLearningRate * state.failureShare;
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

void UpstreamLoads::takeDigest(const Wire::LoadDigestT &digest, SteadyTime now)
{
    for (auto &[id, state] : states_) {
        state.peers.erase(digest.daemon);
    }
    for (const Wire::UpstreamShare &share : digest.upstreams) {
        const auto id = idsByHash_.find(share.key());
        if (id != idsByHash_.end()) {
            states_[id->second].peers[digest.daemon]
                = PeerShare{ { double(share.urgent_tokens()), double(share.usual_tokens()), double(share.late_tokens()) },
                             double(share.memory_tokens()),
                             double(share.running()),
                             now };
        }
    }
    for (const Wire::PlacedPart &part : digest.placed) {
        const auto id = idsByHash_.find(part.upstream());
        if (id != idsByHash_.end()) {
            states_[id->second].prefixes.note(part.chain(), part.tokens());
        }
    }
}

void UpstreamLoads::fillDigest(Wire::LoadDigestT &digest)
{
    for (const auto &[id, state] : states_) {
        if (state.running > 0 && digest.upstreams.size() < mostDigestUpstreams) {
            const auto tokens = [&state = state](Urgency urgency) {
                return static_cast<std::uint32_t>(state.pendingTokens.at(static_cast<std::size_t>(urgency)));
            };
            digest.upstreams.emplace_back(upstreamKey(id), tokens(Urgency::Urgent), tokens(Urgency::Usual), tokens(Urgency::Late),
                                          static_cast<std::uint32_t>(state.memoryTokens),
                                          static_cast<std::uint16_t>(state.running));
        }
    }
}

void UpstreamLoads::fillPlaced(Wire::LoadDigestT &digest, DigestReach reach)
{
    std::deque<Wire::PlacedPart> &queue = placed_.at(static_cast<std::size_t>(reach));
    while (!queue.empty() && digest.placed.size() < mostDigestParts) {
        digest.placed.push_back(queue.front());
        queue.pop_front();
    }
    // More parts than the digests carry: the oldest are the least useful.
    while (queue.size() > mostDigestParts) {
        queue.pop_front();
    }
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
    candidate.pendingTokens = state.pendingTokens;
    candidate.running = state.running;
    candidate.memoryUsed = state.memoryTokens;
    for (const auto &[peer, share] : state.peers) {
        if (now - share.at < peerShareAge) {
            for (std::size_t level = 0; level < urgencyCount; ++level) {
                candidate.pendingTokens.at(level) += share.pendingTokens.at(level);
            }
            candidate.running += share.running;
            candidate.memoryUsed += share.memoryTokens;
        }
    }
    candidate.cachedTokens = state.prefixes.keptTokens(prompt.parts, cacheShare * candidate.memoryTotal);
    candidate.tokensPerMs = state.tokensPerMs > 0 ? state.tokensPerMs : assumedTokensPerMs;
    candidate.serviceMs = state.serviceMs > 0 ? state.serviceMs : assumedServiceMs;
    candidate.failureShare = state.failureShare;
    if (now < state.avoidUntil || isSilent(state, now)) {
        candidate.barred = LossReason::Unhealthy;
    }
    return candidate;
}

} // namespace Portpaddle
