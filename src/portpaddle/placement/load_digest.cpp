// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/placement/load_digest.h"

#include "portpaddle/limits/limit_digest.h"
#include "portpaddle/load_model/load_models.h"
#include "portpaddle/rollouts/rollout_digest.h"

#include <algorithm>

namespace Portpaddle {

namespace {

/// Removes up to @p maxCount entries from the front of @p rest and returns them.
template<typename Entry>
std::vector<Entry> takeFront(std::span<const Entry> &rest, std::size_t maxCount)
{
    const std::span<const Entry> front = rest.first(std::min(maxCount, rest.size()));
    rest = rest.subspan(front.size());
    return { front.begin(), front.end() };
}

} // namespace

std::vector<Wire::LoadDigestT> splitIntoDigests(const Wire::LoadDigestT &header, std::span<const Wire::UpstreamShare> shares,
                                                std::span<const Wire::PlacedPart> parts)
{
    std::vector<Wire::LoadDigestT> result;
    do {
        Wire::LoadDigestT digest = header;
        digest.sequence += result.size();
        if (!result.empty()) {
            digest.services.clear();
        }
        digest.upstreams = takeFront(shares, maxDigestUpstreams);
        digest.placed = takeFront(parts, maxDigestParts);
        result.push_back(std::move(digest));
    } while (!shares.empty() || !parts.empty());
    return result;
}

std::vector<std::uint8_t> encodeDigest(const Wire::LoadDigestT &digest)
{
    flatbuffers::FlatBufferBuilder builder(maxLoadDatagramBytes);
    builder.Finish(Wire::LoadDigest::Pack(builder, &digest));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

Result<Wire::LoadDigestT> decodeDigest(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() > maxLoadDatagramBytes) {
        return Error{ ErrorCode::BadRequest, "load digest is too large", RunState::NotRun, {} };
    }
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<Wire::LoadDigest>(nullptr)) {
        return Error{ ErrorCode::BadRequest, "load digest is malformed", RunState::NotRun, {} };
    }
    Wire::LoadDigestT digest;
    flatbuffers::GetRoot<Wire::LoadDigest>(bytes.data())->UnPackTo(&digest);
    const bool bounded = digest.upstreams.size() <= maxDigestUpstreams && digest.placed.size() <= maxDigestParts
        && digest.services.size() <= maxDigestServices && digest.limit_counts.size() <= maxDigestLimits
        && digest.limit_grants.size() <= maxDigestLimits && digest.limit_demands.size() <= maxDigestLimits
        && digest.limit_urgency_counts.size() <= maxDigestLimits && digest.limit_urgency_grants.size() <= maxDigestLimits
        && digest.limit_urgency_demands.size() <= maxDigestLimits && digest.ended_under.size() <= maxDigestCrashes
        && digest.quarantined.size() <= maxDigestCrashes && digest.parts_ended.size() <= maxDigestCrashes
        && digest.part_questions.size() <= maxDigestCrashes && digest.part_answers.size() <= maxDigestCrashes
        && digest.first_token_times.size() <= maxDigestSamples && digest.upstream_limits.size() <= maxDigestUpstreamLimits
        && digest.rollout_counts.size() <= maxDigestRolloutCounts && digest.upstream_reports.size() <= maxDigestReports
        && digest.begun_streams.size() <= maxDigestStreams && digest.stream_queries.size() <= maxDigestStreams
        && digest.unknown_streams.size() <= maxDigestStreams && digest.places.size() <= maxDigestPlaces
        && digest.brittle_services.size() <= maxDigestUpstreamLimits;
    if (!bounded) {
        return Error{ ErrorCode::BadRequest, "load digest has too many entries", RunState::NotRun, {} };
    }
    return digest;
}

} // namespace Portpaddle
