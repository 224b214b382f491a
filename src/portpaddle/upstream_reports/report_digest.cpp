// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_reports/report_digest.h"

#include "portpaddle/gateway/load_digest.h"

#include <algorithm>
#include <span>

namespace Portpaddle {

namespace {

// The length of the vector, its offset in the table, its place in the table's list of fields, and padding.
constexpr std::size_t vectorOverheadBytes = 24;

/// Moves as many entries of @p rest to @p digest as fit into its datagram.
void fill(Wire::LoadDigestT &digest, std::span<const Wire::UpstreamReport> &rest)
{
    const std::size_t usedBytes = encodeDigest(digest).size() + vectorOverheadBytes;
    const std::size_t room = usedBytes < maxLoadDatagramBytes ? maxLoadDatagramBytes - usedBytes : 0;
    const std::size_t count = std::min({ rest.size(), maxDigestReports, room / sizeof(Wire::UpstreamReport) });
    digest.upstream_reports.assign(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(count));
    rest = rest.subspan(count);
}

/// Returns a digest with the sender of @p header and nothing else.
Wire::LoadDigestT emptyDigest(const Wire::LoadDigestT &header)
{
    Wire::LoadDigestT digest;
    digest.daemon = header.daemon;
    digest.region = header.region;
    digest.phase = header.phase;
    digest.config_version = header.config_version;
    return digest;
}

bool goesToOwnRegion(const Wire::LoadDigestT &digest)
{
    return digest.kind == Wire::DigestKind::Report || digest.kind == Wire::DigestKind::Sum;
}

/// Adds reports about the upstreams of one shard to the digests for it.
void attachShard(std::vector<OutgoingDigest> &due, const Wire::LoadDigestT &header, unsigned shard, ReportedLoads &loads,
                 SteadyTime now)
{
    const auto ofShard
        = [shard](const OutgoingDigest &outgoing) { return goesToOwnRegion(outgoing.digest) && outgoing.digest.shard == shard; };
    const auto first = std::find_if(due.begin(), due.end(), ofShard);
    if (first == due.end()) {
        return;
    }
    const Wire::DigestKind kind = first->digest.kind;
    const ReportScope scope{ shard, kind == Wire::DigestKind::Sum, 1, maxDigestReports };
    const std::vector<Wire::UpstreamReport> reports = loads.takeDue(scope, now);
    std::span<const Wire::UpstreamReport> rest(reports);
    for (auto outgoing = first; outgoing != due.end() && !rest.empty(); ++outgoing) {
        if (ofShard(*outgoing)) {
            fill(outgoing->digest, rest);
        }
    }
    if (rest.empty()) {
        return;
    }
    OutgoingDigest more{ first->to, emptyDigest(header) };
    more.digest.kind = kind;
    more.digest.shard = static_cast<std::uint8_t>(shard);
    fill(more.digest, rest);
    due.push_back(std::move(more));
}

} // namespace

void attachReports(std::vector<Wire::LoadDigestT> &digests, const Wire::LoadDigestT &header, unsigned turns, ReportedLoads &loads,
                   SteadyTime now)
{
    const std::vector<Wire::UpstreamReport> reports = loads.takeDue({ std::nullopt, false, turns }, now);
    std::span<const Wire::UpstreamReport> rest(reports);
    for (Wire::LoadDigestT &digest : digests) {
        if (!rest.empty()) {
            fill(digest, rest);
        }
    }
    while (!rest.empty()) {
        Wire::LoadDigestT more = emptyDigest(header);
        more.sequence = header.sequence + digests.size();
        fill(more, rest);
        digests.push_back(std::move(more));
    }
}

void attachReports(std::vector<OutgoingDigest> &due, const Wire::LoadDigestT &header, ReportedLoads &loads, SteadyTime now)
{
    for (unsigned shard = 0; shard < aggregationShards; ++shard) {
        attachShard(due, header, shard, loads, now);
    }
}

} // namespace Portpaddle
