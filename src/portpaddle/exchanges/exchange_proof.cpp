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
// A connection that fails for another reason than that nobody listens tells nothing.
constexpr unsigned maxQuestions = 3;
// An announcement may be known here later than at the upstream.
constexpr Millis announcementDelay{ 1'000 };

} // namespace

bool Exchange::mayBeStopped(const Attempt &attempt) const
{
    return attempt.isMoved && move_.stopOrdered();
}

Task<AttemptReport> Exchange::proveEnd(Attempt &attempt, AttemptReport report)
{
    const bool looksWhole = report.end == AttemptEnd::Complete || report.bufferedAnswer;
    if (!looksWhole || report.framing != BodyFraming::UntilClose || !attempt.target.upstream) {
        co_return report;
    }
    std::exception_ptr failure;
    try {
        const std::string doubt = co_await doubtAboutEnd(attempt);
        if (doubt.empty()) {
            co_return report;
        }
        AttemptReport broken = failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                                             "the end of its connection is not the end of the answer: " + doubt);
        broken.framing = report.framing;
        broken.turnedAway = report.turnedAway;
        co_return broken;
    } catch (...) {
        failure = std::current_exception();
    }
    co_return reportOf(failure, attempt);
}

Task<std::string> Exchange::doubtAboutEnd(const Attempt &attempt)
{
    if (mayBeStopped(attempt)) {
        if (interruption_ == Interruption::None) {
            co_await move_.awaitEnd();
        }
        if (move_.inProgress() || move_.mayHaveStopped()) {
            co_return "its run was ordered to stop";
        }
    }
    const UpstreamRecord &upstream = *attempt.target.upstream;
    if (!mayHaveEnded(upstream)) {
        co_return std::string();
    }
    co_return co_await signOfProcessEnd(upstream);
}

bool Exchange::mayHaveEnded(const UpstreamRecord &upstream) const
{
    if (gateway_.hasEnded(upstream.id) || gateway_.crashes_.isInDoubt(upstream.id)) {
        return true;
    }
    const SteadyTime now = BootClock::now();
    const UpstreamRecord &listed = gateway_.view_->upstreams.find(upstream.id)->second;
    if (listed.leavingSince) {
        return now + announcementDelay >= gateway_.endOf(listed);
    }
    return listed.leaving || gateway_.notices_.exclusionReason(upstream.id, now) == ExclusionReason::Leaving;
}

bool Exchange::isAddressReused(const UpstreamRecord &upstream) const
{
    for (const auto &[id, listed] : gateway_.view_->upstreams) {
        if (listed.address == upstream.address && id != upstream.id) {
            return true;
        }
    }
    return false;
}

Task<std::string> Exchange::signOfProcessEnd(const UpstreamRecord &upstream)
{
    if (isAddressReused(upstream)) {
        co_return "another upstream has its address";
    }
    NetError error;
    for (unsigned question = 0; question < maxQuestions; ++question) {
        co_await pause(processEndTime);
        if (interruption_ != Interruption::None) {
            co_return "there was no time to ask whether its upstream has ended";
        }
        UpstreamConnection *opening = nullptr;
        const std::unique_ptr<UpstreamConnection> connection
            = co_await gateway_.pool_.connect(upstream.id, upstream.address, connectTimeout, &opening, error);
        if (connection) {
            gateway_.pool_.ended(upstream.id);
        }
        // An upstream that resets connections beyond its limit lives.
        if (connection || error == boost::asio::error::connection_reset) {
            co_return std::string();
        }
        if (error == boost::asio::error::connection_refused) {
            break;
        }
    }
    co_return "its upstream seems to have ended: " + error.message();
}

} // namespace Portpaddle
