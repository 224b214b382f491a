// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/crash_guard.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/net/spawn.h"
#include "portpaddle/routing/rendezvous.h"

#include <utility>

namespace Portpaddle {

namespace {

// Upstreams are one network hop away: one that is there answers within milliseconds.
constexpr Millis connectTimeout{ 400 };
// After so many a request is held. One upstream may end under a request by chance: another request ended it, or its machine.
// While the news travel more of them end: 2 in all under a request that comes every quarter of a second, where a hold after three
// ends lets 3 to 6 end; of some 1,400 harmless requests beside it none was lost, in place of 7 (three daemons, five seeds). None
// was held by chance with either while a third of the upstreams ended five times within 9 s and callers repeated at once (123
// ends).
constexpr unsigned endsBeforeHold = 2;
// Daemons write a hold one after the other, until one of them has: changes gather for half a second before others see them.
constexpr Millis writeStagger{ 1'500 };
constexpr std::size_t maxWriters = 6;

} // namespace

CrashGuard::CrashGuard(Executor executor, ConnectionPool &pool, Metrics &metrics, std::string ownId)
    : executor_(executor), pool_(pool), metrics_(metrics), ownId_(ownId), news_(std::move(ownId))
{
}

void CrashGuard::setWriteRecord(WriteRecord write)
{
    write_ = std::move(write);
}

void CrashGuard::recordCompleted(const CallerRequest &request, std::string_view caller, SteadyTime now)
{
    completedRequests_.add(request, caller, now);
}

// A connection that breaks says little: answers are lost, machines reset connections. An upstream whose process has ended refuses
// the next one at once, while its record stands for seconds more.
void CrashGuard::recordBrokenRun(const UpstreamRecord &upstream, const CallerRequest &request, std::string_view caller,
                                 const RequestFingerprint &fingerprint, SteadyTime now)
{
    if (completedRequests_.contains(request, caller, now)) {
        return;
    }
    const bool first = watch_.broke(upstream.id, fingerprint, now);
    if (watch_.hasEnded(upstream.id)) {
        noteSuspects(upstream.id, now);
    } else if (first) {
        spawnTask(executor_, "ask_upstream",
                  [this, id = upstream.id, address = upstream.address] { return askWhetherItLives(id, address); });
    }
}

Task<void> CrashGuard::askWhetherItLives(std::string upstream, std::string address)
{
    UpstreamConnection *opening = nullptr;
    NetError error;
    std::unique_ptr<UpstreamConnection> connection = co_await pool_.connect(upstream, address, connectTimeout, &opening, error);
    const SteadyTime now = BootClock::now();
    if (connection) {
        connection->usableUntil = now + defaultKeep;
        pool_.keep(upstream, std::move(connection));
        watch_.lives(upstream);
    } else if (error == boost::asio::error::connection_refused) {
        upstreamEnded(upstream, now);
    }
}

void CrashGuard::upstreamEnded(const std::string &upstream, SteadyTime now)
{
    if (!watch_.hasEnded(upstream)) {
        watch_.ended(upstream, now);
        metrics_.count(Counter::UpstreamsEnded);
    }
    noteSuspects(upstream, now);
}

void CrashGuard::noteSuspects(const std::string &upstream, SteadyTime now)
{
    const std::vector<RequestFingerprint> suspects = watch_.takeSuspects(upstream);
    if (suspects.empty()) {
        return;
    }
    logEvent(LogEvent::UpstreamEnded, { { "upstream", upstream }, { "requests", std::to_string(suspects.size()) } });
    for (const RequestFingerprint &suspect : suspects) {
        news_.endedUnder(suspect, stableHash(upstream));
        count(suspect, stableHash(upstream), now);
    }
}

// A request comes again at any daemon: the ends that single daemons see add up at those that count for it, which are the same for
// all. Every daemon counts what it saw itself, so that one that reaches no other stops as well.
void CrashGuard::count(const RequestFingerprint &request, std::uint64_t upstream, SteadyTime now)
{
    if (ledger_.add(request, upstream, now) >= endsBeforeHold) {
        hold(request, now);
    }
}

void CrashGuard::hold(const RequestFingerprint &request, SteadyTime now)
{
    if (!quarantine_.hold(request, now)) {
        return;
    }
    logEvent(LogEvent::RequestQuarantined,
             { { "fingerprint", request.hex() }, { "upstreams_ended", std::to_string(ledger_.count(request)) } });
    metrics_.count(Counter::RequestsQuarantined);
    news_.quarantined(request);
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
    for (const std::string &upstream : watch_.undecided()) {
        if (!view_->upstreams.contains(upstream)) {
            upstreamEnded(upstream, now);
        }
    }
}

void CrashGuard::takeNews(const Wire::LoadDigestT &digest, SteadyTime now)
{
    for (const Wire::EndedUnder &ended : digest.ended_under) {
        count(fromWire(ended.request()), ended.upstream(), now);
    }
    for (const Wire::RequestDigest &request : digest.quarantined) {
        quarantine_.hold(fromWire(request), now);
    }
}

std::vector<OutgoingDigest> CrashGuard::dueDigests(const Wire::LoadDigestT &header)
{
    return view_ ? news_.due(*view_, header) : std::vector<OutgoingDigest>{};
}

void CrashGuard::tick(SteadyTime now)
{
    watch_.expire(now);
    quarantine_.expire(now);
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
            quarantine_.askedToWrite(unwritten.request, now);
            write_(unwritten.request);
        }
    }
}

} // namespace Portpaddle
