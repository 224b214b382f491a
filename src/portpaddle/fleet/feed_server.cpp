// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/feed_server.h"

#include "portpaddle/gateway/state_exchange.h"
#include "portpaddle/net/http_status.h"

#include <algorithm>
#include <charconv>

namespace Portpaddle {

namespace {

/// Returns the revision named in a request for changes; no value if @p target is no valid request of this kind.
std::optional<std::uint64_t> requestedRevision(const std::string &target)
{
    static const std::string queryPrefix = std::string(changesPath) + "?after=";
    std::uint64_t revision = 0;
    const char *end = target.data() + target.size();
    if (!target.starts_with(queryPrefix)) {
        return std::nullopt;
    }
    const auto parsed = std::from_chars(target.data() + queryPrefix.size(), end, revision);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(revision) : std::nullopt;
}

} // namespace

FeedServer::FeedServer(Executor executor, std::string daemon, const ChangeFeed &feed,
                       std::function<std::vector<KeyValue>()> listItems)
    : executor_(executor), daemon_(std::move(daemon)), feed_(feed), listItems_(std::move(listItems))
{
}

bool FeedServer::handles(const std::string &target) const
{
    return target == statePath || target.starts_with(changesPath);
}

void FeedServer::wake()
{
    for (SteadyTimer *timer : waitingTimers_) {
        timer->cancel();
    }
}

Task<WholeAnswer> FeedServer::answer(std::string target)
{
    if (target == statePath) {
        co_return answerState();
    }
    if (const std::optional<std::uint64_t> revision = requestedRevision(target)) {
        co_return co_await answerChanges(*revision);
    }
    WholeAnswer answer;
    answer.status = HttpStatus::badRequest;
    co_return answer;
}

Task<WholeAnswer> FeedServer::answerChanges(std::uint64_t revision)
{
    FeedUpdate update = feed_.since(revision);
    // Without recent contact with the store, this daemon answers at once: if several daemons in a row have no contact, a client
    // that waited for each of them would exceed the time within which a change must take effect.
    const SteadyTime::duration remainingValidity = update.confirmedAt + maxConfirmationAge - BootClock::now();
    const auto wait = std::min<SteadyTime::duration>(maxFeedWait, remainingValidity);
    if (update.reachable && !update.incomplete && update.changes.empty() && wait > SteadyTime::duration::zero()) {
        SteadyTimer timer(executor_);
        timer.expires_after(wait);
        waitingTimers_.insert(&timer);
        NetError woken;
        co_await timer.async_wait(awaitingInto(woken));
        waitingTimers_.erase(&timer);
        update = feed_.since(revision);
    }
    WholeAnswer answer;
    answer.body = encodeChanges(daemon_, update);
    co_return answer;
}

WholeAnswer FeedServer::answerState() const
{
    // The feed is read first, so that the items may be newer than the stated revision but never older.
    const FeedUpdate update = feed_.since(0);
    WholeAnswer answer;
    answer.body = encodeState(daemon_, listItems_(), update);
    return answer;
}

} // namespace Portpaddle
