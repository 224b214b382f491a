// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/stream_versions/stream_versions.h"

#include <utility>

namespace Portpaddle {

namespace {

// Twice the streams that a daemon holds of a minute, at forty streams a second and daemon, each held by six daemons.
constexpr std::size_t maxStreams = 32'768;
constexpr std::size_t maxLookups = 2'048;
// Daemons of one region answer within a few milliseconds unless they have ended.
constexpr Millis ownRegionWait{ 25 };
// The round trip to another region, and a busy daemon there.
constexpr Millis allRegionsWait{ 180 };
// One datagram in ten may be lost.
constexpr unsigned allRegionsRounds = 2;

StreamKey keyOf(const Wire::RequestDigest &stream)
{
    return { stream.high(), stream.low() };
}

Wire::RequestDigest toWire(const StreamKey &stream)
{
    return { stream.high, stream.low };
}

} // namespace

StreamVersions::StreamVersions(Executor executor, std::string ownId, std::string ownRegion)
    : executor_(executor), ownId_(ownId), holders_(std::move(ownId), std::move(ownRegion)), begun_(maxStreams)
{
}

void StreamVersions::setSend(Send send)
{
    send_ = std::move(send);
}

void StreamVersions::setSoleVersion(SoleVersion soleVersion)
{
    soleVersion_ = std::move(soleVersion);
}

void StreamVersions::setDaemons(const SharedList<DaemonRecord> &daemons)
{
    holders_.setDaemons(daemons);
}

std::size_t StreamVersions::size() const
{
    return begun_.size();
}

Wire::LoadDigestT StreamVersions::emptyDigest() const
{
    Wire::LoadDigestT digest;
    digest.daemon = ownId_;
    digest.kind = Wire::DigestKind::StreamVersions;
    return digest;
}

void StreamVersions::announce(const StreamKey &stream, VersionKey version, SteadyTime now)
{
    begun_.record(stream, version, now);
    Wire::LoadDigestT digest = emptyDigest();
    digest.begun_streams.emplace_back(toWire(stream), version);
    send_({ holders_.links(stream, StreamHolders::Reach::AllRegions), std::move(digest) });
}

Task<std::optional<VersionKey>> StreamVersions::find(StreamKey stream, std::uint64_t service, std::optional<VersionKey> sole)
{
    if (begun_.contains(stream, BootClock::now())) {
        co_return begun_.find(stream, BootClock::now());
    }
    if (lookups_.size() >= maxLookups) {
        co_return sole;
    }
    const auto lookup = std::make_shared<Lookup>(executor_);
    const auto listed = lookups_.emplace(stream, lookup);
    const Wire::StreamQuery query(toWire(stream), service);
    co_await ask(query, *lookup, StreamHolders::Reach::OwnRegion, ownRegionWait);
    for (unsigned round = 0; round < allRegionsRounds && !sole && !begun_.contains(stream, BootClock::now()); ++round) {
        co_await ask(query, *lookup, StreamHolders::Reach::AllRegions, allRegionsWait);
    }
    lookups_.erase(listed);
    const SteadyTime now = BootClock::now();
    co_return begun_.contains(stream, now) ? begun_.find(stream, now) : sole;
}

Task<void> StreamVersions::ask(const Wire::StreamQuery &query, Lookup &lookup, StreamHolders::Reach reach, Millis maxWait)
{
    lookup.awaited = holders_.links(keyOf(query.stream()), reach);
    if (lookup.awaited.empty()) {
        co_return;
    }
    lookup.answered.expires_after(maxWait);
    Wire::LoadDigestT digest = emptyDigest();
    digest.stream_queries.push_back(query);
    send_({ lookup.awaited, std::move(digest) });
    NetError ignored;
    co_await lookup.answered.async_wait(awaitingInto(ignored));
}

void StreamVersions::take(const Wire::LoadDigestT &digest, SteadyTime now)
{
    for (const Wire::BegunStream &begun : digest.begun_streams) {
        const StreamKey stream = keyOf(begun.stream());
        begun_.record(stream, begun.version(), now);
        const auto [first, last] = lookups_.equal_range(stream);
        for (auto lookup = first; lookup != last; ++lookup) {
            lookup->second->answered.cancel();
        }
    }
    const std::string sender = holders_.linkOf(digest.daemon);
    for (const Wire::RequestDigest &unknown : digest.unknown_streams) {
        const auto [first, last] = lookups_.equal_range(keyOf(unknown));
        for (auto lookup = first; lookup != last; ++lookup) {
            std::vector<std::string> &awaited = lookup->second->awaited;
            if (std::erase(awaited, sender) > 0 && awaited.empty()) {
                lookup->second->answered.cancel();
            }
        }
    }
    if (!digest.stream_queries.empty()) {
        answerQueries(digest, now);
    }
}

// Only listed daemons are answered, so that a datagram with a forged sender reaches nobody else.
void StreamVersions::answerQueries(const Wire::LoadDigestT &digest, SteadyTime now)
{
    const std::string link = holders_.linkOf(digest.daemon);
    if (link.empty()) {
        return;
    }
    for (const Wire::StreamQuery &query : digest.stream_queries) {
        const StreamKey stream = keyOf(query.stream());
        if (begun_.contains(stream, now)) {
            answer(link, stream, begun_.find(stream, now));
            continue;
        }
        soleVersion_(query.service(), [this, link, stream](std::optional<VersionKey> version) { answer(link, stream, version); });
    }
}

void StreamVersions::answer(const std::string &link, const StreamKey &stream, std::optional<VersionKey> version) const
{
    Wire::LoadDigestT answer = emptyDigest();
    if (version) {
        answer.begun_streams.emplace_back(toWire(stream), *version);
    } else {
        answer.unknown_streams.push_back(toWire(stream));
    }
    send_({ { link }, std::move(answer) });
}

} // namespace Portpaddle
