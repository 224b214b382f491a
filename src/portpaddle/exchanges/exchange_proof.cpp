// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Whether an answer that only the end of its connection delimits is whole. An upstream that is ordered to stop a run closes its
// connection, and so does one whose process ends.

#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/exchanges/exchange_attempt.h"

namespace Portpaddle {

namespace {

// A process that ends may close its connections a moment before it stops listening.
constexpr Millis processEndTime{ 100 };
// Upstreams are one network hop away: a running one accepts a connection within milliseconds.
constexpr Millis connectTimeout{ 400 };

} // namespace

bool Exchange::mayBeStopped(const Attempt &attempt) const
{
    return attempt.isMoved && move_.stopOrdered();
}

Task<AttemptReport> Exchange::proveEnd(const Attempt &attempt, AttemptReport report)
{
    const std::optional<UpstreamRecord> &upstream = attempt.target.upstream;
    if (report.end != AttemptEnd::Complete || report.framing != BodyFraming::UntilClose || !upstream) {
        co_return report;
    }
    bool isWhole = true;
    if (mayBeStopped(attempt)) {
        isWhole = co_await hadEndedBeforeStop();
    } else if (isEnding(*upstream)) {
        isWhole = co_await outlivesConnection(*upstream);
    }
    if (isWhole) {
        co_return report;
    }
    AttemptReport broken = failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                                         "the upstream stopped the run or has ended, so the end of its connection proves no end "
                                         "of the answer");
    broken.framing = report.framing;
    broken.turnedAway = report.turnedAway;
    co_return broken;
}

Task<bool> Exchange::hadEndedBeforeStop()
{
    co_await move_.awaitEnd();
    co_return move_.foundRunEnded();
}

bool Exchange::isEnding(const UpstreamRecord &upstream) const
{
    const auto &upstreams = gateway_.view_->upstreams;
    const auto found = upstreams.find(upstream.id);
    if (found == upstreams.end() || found->second.leaving || found->second.leavingSince) {
        return true;
    }
    return gateway_.notices_.exclusionReason(upstream.id, BootClock::now()) == ExclusionReason::Leaving;
}

Task<bool> Exchange::outlivesConnection(const UpstreamRecord &upstream)
{
    co_await pause(processEndTime);
    if (interruption_ != Interruption::None) {
        co_return false;
    }
    UpstreamConnection *opening = nullptr;
    NetError error;
    const std::unique_ptr<UpstreamConnection> connection
        = co_await gateway_.pool_.connect(upstream.id, upstream.address, connectTimeout, &opening, error);
    if (connection) {
        gateway_.pool_.ended(upstream.id);
    }
    co_return connection != nullptr;
}

} // namespace Portpaddle
