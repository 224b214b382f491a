// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/feed_server.h"

#include "portpaddle/gateway/state_exchange.h"
#include "portpaddle/net/http_status.h"

#include <algorithm>
#include <charconv>

namespace Portpaddle {

namespace {

/// The revision that a question about changes names; no value where it names none.
std::optional<std::uint64_t> revisionOf(const std::string &target)
{
    static const std::string question = std::string(changesPath) + "?after=";
    std::uint64_t revision = 0;
    const char *end = target.data() + target.size();
    if (!target.starts_with(question)) {
        return std::nullopt;
    }
    const auto parsed = std::from_chars(target.data() + question.size(), end, revision);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(revision) : std::nullopt;
}

} // namespace

FeedServer::FeedServer(Executor executor, std::string daemon, const ChangeFeed &feed,
                       std::function<std::vector<KeyValue>()> known)
    : executor_(executor), daemon_(std::move(daemon)), feed_(feed), known_(std::move(known))
{
}

bool FeedServer::handles(const std::string &target) const
{
    return target == statePath || target.starts_with(changesPath);
}

void FeedServer::wake()
{
    for (SteadyTimer *timer : waiting_) {
        timer->cancel();
    }
}

Task<WholeAnswer> FeedServer::answer(std::string target)
{
    if (target == statePath) {
        co_return answerState();
    }
    if (const std::optional<std::uint64_t> revision = revisionOf(target)) {
        co_return co_await answerChanges(*revision);
    }
    WholeAnswer answer;
    answer.status = HttpStatus::badRequest;
    co_return answer;
}

Task<WholeAnswer> FeedServer::answerChanges(std::uint64_t revision)
{
    FeedUpdate news = feed_.since(revision);
    // Who is asked and has no contact with the store any more says so at once: where several in a row have none, the one that
    // asks would otherwise spend the time in which a change must be in force on waiting for them.
    const SteadyTime::duration counts = news.confirmedAt + oldestConfirmation - BootClock::now();
    const auto wait = std::min<SteadyTime::duration>(longestFeedWait, counts);
    if (news.reachable && !news.incomplete && news.changes.empty() && wait > SteadyTime::duration::zero()) {
        SteadyTimer timer(executor_);
        timer.expires_after(wait);
        waiting_.insert(&timer);
        NetError woken;
        co_await timer.async_wait(awaitingInto(woken));
        waiting_.erase(&timer);
        news = feed_.since(revision);
    }
    WholeAnswer answer;
    answer.body = encodeChanges(daemon_, news);
    co_return answer;
}

WholeAnswer FeedServer::answerState() const
{
    // Asked first: the items may be newer than this says, never older.
    const FeedUpdate news = feed_.since(0);
    WholeAnswer answer;
    answer.body = encodeState(daemon_, known_(), news);
    return answer;
}

} // namespace Portpaddle
