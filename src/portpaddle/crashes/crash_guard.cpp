// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/crash_guard.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/net/spawn.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Portpaddle {

namespace {

// Upstreams are one network hop away: a running one accepts a connection within milliseconds.
constexpr Millis connectTimeout{ 400 };
// A request is quarantined after this many crashes. One upstream may crash under a request by chance, because of another request
// or its machine, and more may crash before all daemons know of the quarantine.
constexpr unsigned crashesBeforeQuarantine = 2;
// The daemons try to write a quarantine record one after the other, until one of them has written it: the platform collects
// changes for half a second before other daemons get them.
constexpr Millis writeStagger{ 1'500 };
constexpr std::size_t maxWriters = 6;
// Upstreams of the same service, and as many of other services, that are asked whether this daemon reaches any.
constexpr std::size_t maxNeighbours = 2;

} // namespace

CrashGuard::CrashGuard(Executor executor, ConnectionPool &pool, Metrics &metrics, std::string ownId)
    : executor_(executor), pool_(pool), metrics_(metrics), ownId_(ownId), digests_(ownId), parts_(std::move(ownId))
{
}

void CrashGuard::setWriteRecord(WriteRecord write)
{
    write_ = std::move(write);
}

void CrashGuard::recordCompleted(const CallerRequest &request, std::string_view caller,
                                 const std::vector<RequestFingerprint> &parts, SteadyTime now)
{
    completedRequests_.add(request, caller, now);
    if (!parts.empty()) {
        parts_.recordCompleted(parts, now);
    }
}

// A broken connection does not prove a crash: answers are lost, and machines reset connections. An upstream whose process has
// ended refuses the next connection at once, while its record remains for some seconds.
void CrashGuard::recordBrokenRun(const UpstreamRecord &upstream, const BrokenRun &run, SteadyTime now)
{
    if (completedRequests_.contains(run.request, run.caller, now)) {
        return;
    }
    const bool first = watch_.recordBreak(upstream.id, run.fingerprint, now);
    watch_.recordParts(upstream.id, run.parts);
    if (watch_.hasEnded(upstream.id)) {
        recordSuspects(upstream.id, now);
    } else if (first) {
        spawnTask(executor_, "ask_upstream",
                  [this, id = upstream.id, address = upstream.address] { return probeUpstream(id, address); });
    }
}

Task<NetError> CrashGuard::connectTo(std::string upstream, std::string address)
{
    UpstreamConnection *opening = nullptr;
    NetError error;
    std::unique_ptr<UpstreamConnection> connection = co_await pool_.connect(upstream, address, connectTimeout, &opening, error);
    if (connection) {
        connection->usableUntil = BootClock::now() + defaultKeep;
        pool_.keep(upstream, std::move(connection));
    }
    co_return error;
}

Task<void> CrashGuard::probeUpstream(std::string upstream, std::string address)
{
    const NetError error = co_await connectTo(upstream, address);
    if (!error) {
        watch_.confirmAlive(upstream);
    } else if (error == boost::asio::error::connection_refused) {
        connectionRefused(upstream, BootClock::now());
    }
}

void CrashGuard::connectionRefused(const std::string &upstream, SteadyTime now)
{
    if (watch_.hasEnded(upstream)) {
        recordSuspects(upstream, now);
        return;
    }
    const std::vector<std::string> suspected = watch_.unconfirmed();
    const bool hasBrokenRuns = std::find(suspected.begin(), suspected.end(), upstream) != suspected.end();
    if (hasBrokenRuns && confirming_.insert(upstream).second) {
        spawnTask(executor_, "confirm_end", [this, upstream] { return confirmEnd(upstream); });
    }
}

std::vector<UpstreamRecord> CrashGuard::neighboursOf(const std::string &upstream) const
{
    std::vector<UpstreamRecord> sameService;
    std::vector<UpstreamRecord> otherServices;
    const auto asked = view_->upstreams.find(upstream);
    if (asked == view_->upstreams.end()) {
        return sameService;
    }
    for (const auto &[id, record] : view_->upstreams) {
        if (id == upstream || record.region != asked->second.region || watch_.hasEnded(id)) {
            continue;
        }
        std::vector<UpstreamRecord> &list = record.service == asked->second.service ? sameService : otherServices;
        if (list.size() < maxNeighbours) {
            list.push_back(record);
        }
    }
    sameService.insert(sameService.end(), otherServices.begin(), otherServices.end());
    return sameService;
}

// A daemon that is cut off from its upstreams sees what crashes look like: runs break, and new connections are refused.
Task<void> CrashGuard::confirmEnd(std::string upstream)
{
    const std::vector<UpstreamRecord> neighbours = view_ ? neighboursOf(upstream) : std::vector<UpstreamRecord>{};
    bool reachesOthers = neighbours.empty();
    for (const UpstreamRecord &neighbour : neighbours) {
        const NetError error = co_await connectTo(neighbour.id, neighbour.address);
        reachesOthers = !error;
        if (reachesOthers) {
            break;
        }
    }
    confirming_.erase(upstream);
    if (reachesOthers) {
        upstreamEnded(upstream, BootClock::now());
    }
}

void CrashGuard::upstreamEnded(const std::string &upstream, SteadyTime now)
{
    if (!watch_.hasEnded(upstream)) {
        watch_.confirmEnded(upstream, now);
        metrics_.count(Counter::UpstreamsEnded);
    }
    recordSuspects(upstream, now);
}

void CrashGuard::recordSuspects(const std::string &upstream, SteadyTime now)
{
    parts_.upstreamEnded(stableHash(upstream), watch_.takeSuspectedParts(upstream), now);
    const std::vector<RequestFingerprint> suspects = watch_.takeSuspects(upstream);
    if (suspects.empty()) {
        return;
    }
    logEvent(LogEvent::UpstreamEnded, { { "upstream", upstream }, { "requests", std::to_string(suspects.size()) } });
    for (const RequestFingerprint &suspect : suspects) {
        digests_.recordCrash(suspect, stableHash(upstream));
        count(suspect, stableHash(upstream), now);
    }
}

// A request may be retried at any daemon, so the crashes that single daemons see are added up at the daemons that count for the
// request, which are the same for all. Every daemon also counts the crashes that it saw itself, so that one that cannot reach any
// other quarantines the request as well.
void CrashGuard::count(const RequestFingerprint &request, std::uint64_t upstream, SteadyTime now)
{
    const unsigned ended = ledger_.add(request, upstream, now);
    if (ended >= crashesBeforeQuarantine) {
        quarantine(request, "request", ended, now);
    }
}

void CrashGuard::quarantine(const RequestFingerprint &fingerprint, std::string_view kind, unsigned ended, SteadyTime now)
{
    if (!quarantine_.insert(fingerprint, now)) {
        return;
    }
    logEvent(
        LogEvent::RequestQuarantined,
        { { "fingerprint", fingerprint.hex() }, { "kind", std::string(kind) }, { "upstreams_ended", std::to_string(ended) } });
    metrics_.count(Counter::RequestsQuarantined);
    digests_.recordQuarantined(fingerprint);
}

bool CrashGuard::hasEnded(const std::string &upstream) const
{
    return watch_.hasEnded(upstream);
}

bool CrashGuard::isInDoubt(const std::string &upstream) const
{
    return watch_.isInDoubt(upstream);
}

bool CrashGuard::hasQuarantined() const
{
    return !quarantine_.empty();
}

bool CrashGuard::isQuarantined(const RequestFingerprint &request, SteadyTime now)
{
    return quarantine_.isQuarantined(request, now);
}

void CrashGuard::setView(std::shared_ptr<const FleetView> view, SteadyTime now)
{
    view_ = std::move(view);
    quarantine_.setStored(view_->quarantined, now);
    for (const std::string &upstream : watch_.unconfirmed()) {
        if (!view_->upstreams.contains(upstream)) {
            upstreamEnded(upstream, now);
        }
    }
}

void CrashGuard::takeNews(const Wire::LoadDigestT &digest, SteadyTime now)
{
    if (view_) {
        parts_.takeNews(*view_, digest, now);
    }
    for (const Wire::EndedUnder &ended : digest.ended_under) {
        count(fromWire(ended.request()), ended.upstream(), now);
    }
    for (const Wire::RequestDigest &request : digest.quarantined) {
        quarantine_.insert(fromWire(request), now);
    }
}

std::vector<OutgoingDigest> CrashGuard::dueDigests(const Wire::LoadDigestT &header)
{
    if (!view_) {
        return {};
    }
    std::vector<OutgoingDigest> out = digests_.due(*view_, header);
    std::vector<OutgoingDigest> aboutParts = parts_.due(*view_, header, BootClock::now());
    std::move(aboutParts.begin(), aboutParts.end(), std::back_inserter(out));
    return out;
}

void CrashGuard::tick(SteadyTime now)
{
    watch_.expire(now);
    quarantine_.expire(now);
    if (view_) {
        for (const RequestFingerprint &part : parts_.takeGuilty(*view_, now)) {
            quarantine(part, "part", endsBeforeInquiry, now);
        }
    }
    writeDue(now);
}

void CrashGuard::writeDue(SteadyTime now)
{
    if (!write_ || !view_) {
        return;
    }
    for (const Quarantine::Unwritten &unwritten : quarantine_.unwritten(now)) {
        const auto rank = static_cast<int>(countingRank(*view_, ownId_, unwritten.request, maxWriters));
        if (now >= unwritten.since + writeStagger * rank) {
            quarantine_.recordWriteRequest(unwritten.request, now);
            write_(unwritten.request);
        }
    }
}

} // namespace Portpaddle
