// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/crash_guard.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/net/spawn.h"

#include <memory>

namespace Portpaddle {

namespace {

// Upstreams are one network hop away: one that is there answers within milliseconds.
constexpr Millis connectTimeout{ 400 };
// A connection that was opened only to ask is kept for the next request; the shortest idle bounds of common servers are 5 s.
constexpr Millis keepTime{ 4'000 };

} // namespace

CrashGuard::CrashGuard(Executor executor, ConnectionPool &pool, Metrics &metrics)
    : executor_(executor), pool_(pool), metrics_(metrics)
{
}

// A connection that breaks says little: answers are lost, machines reset connections. An upstream whose process has ended refuses
// the next one at once, while its record stands for seconds more.
void CrashGuard::runBroke(const UpstreamRecord &upstream, const RequestFingerprint &fingerprint, SteadyTime now)
{
    const bool first = watch_.broke(upstream.id, fingerprint, now);
    if (watch_.hasEnded(upstream.id)) {
        noteSuspects(upstream.id);
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
        connection->usableUntil = now + keepTime;
        pool_.keep(upstream, std::move(connection));
        watch_.lives(upstream);
    } else if (error == boost::asio::error::connection_refused) {
        refusedConnection(upstream, now);
    }
}

void CrashGuard::refusedConnection(const std::string &upstream, SteadyTime now)
{
    if (!watch_.hasEnded(upstream)) {
        watch_.ended(upstream, now);
        metrics_.count(Counter::UpstreamsEnded);
    }
    noteSuspects(upstream);
}

void CrashGuard::setView(const FleetView &view, SteadyTime now)
{
    for (const std::string &upstream : watch_.undecided()) {
        if (!view.upstreams.contains(upstream)) {
            refusedConnection(upstream, now);
        }
    }
}

void CrashGuard::tick(SteadyTime now)
{
    watch_.expire(now);
}

void CrashGuard::noteSuspects(const std::string &upstream)
{
    const std::vector<RequestFingerprint> suspects = watch_.takeSuspects(upstream);
    if (!suspects.empty()) {
        logEvent(LogEvent::UpstreamEnded, { { "upstream", upstream }, { "requests", std::to_string(suspects.size()) } });
    }
}

} // namespace Portpaddle
