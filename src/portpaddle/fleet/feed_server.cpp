// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/feed_server.h"

#include "portpaddle/net/gzip.h"
#include "portpaddle/net/http_status.h"
#include "portpaddle/store_following/state_exchange.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace Portpaddle {

namespace {

// An encoded answer states when the store confirmed it, which may be this much longer ago when the answer is used again.
constexpr std::chrono::milliseconds reuseTime{ 200 };
// Daemons ask for the changes after the few revisions that they have.
constexpr std::size_t maxEncoded = 8;
// Stands for all items in place of the changes after a revision.
constexpr std::uint64_t wholeState = std::numeric_limits<std::uint64_t>::max();
// Shorter answers fit into a few packets.
constexpr std::size_t minCompressedBytes = 4'096;

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

FeedServer::FeedServer(Executor executor, std::string daemon, const ChangeFeed &feed, std::function<StoreState()> readState)
    : executor_(executor), daemon_(std::move(daemon)), feed_(feed), readState_(std::move(readState))
{
}

bool FeedServer::handles(const std::string &target) const
{
    return target == statePath || target.starts_with(changesPath) || target.starts_with(itemsPath);
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
    if (target.starts_with(itemsPath)) {
        co_return answerItems(std::string_view(target).substr(std::string_view(itemsPath).size()));
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
    co_return sharedAnswer(revision, update, [this, &update] { return encodeChanges(daemon_, update); });
}

WholeAnswer FeedServer::answerState()
{
    FeedUpdate update = feed_.since(0);
    update.changes.clear();
    return sharedAnswer(wholeState, update, [this, &update] { return encodeKnownState(update); });
}

// Never from an earlier encoding: the daemon that asks was told that this one knows something newer.
WholeAnswer FeedServer::answerItems(std::string_view prefix) const
{
    StoreState state = readState_();
    std::erase_if(state.items, [prefix](const KeyValue &item) { return !item.key.starts_with(prefix); });
    FeedUpdate update = feed_.since(0);
    update.revision = state.revision;
    update.scope = std::move(state.scope);
    WholeAnswer answer;
    answer.body = encodeState(daemon_, state.items, update);
    return answer;
}

/// The state may be newer than the feed: it also contains what other daemons reported during an outage of the store.
std::string FeedServer::encodeKnownState(FeedUpdate update) const
{
    const StoreState state = readState_();
    update.revision = state.revision;
    update.scope = state.scope;
    return encodeState(daemon_, state.items, update);
}

// After a loss of many daemons a hundred others ask for the same megabytes at once.
WholeAnswer FeedServer::sharedAnswer(std::uint64_t after, const FeedUpdate &update, const std::function<std::string()> &encode)
{
    const SteadyTime now = BootClock::now();
    std::erase_if(encoded_, [now](const Encoded &entry) { return entry.usableUntil <= now; });
    auto found = std::find_if(encoded_.begin(), encoded_.end(), [&](const Encoded &entry) {
        return entry.after == after && entry.revision == update.revision && entry.reachable == update.reachable;
    });
    if (found == encoded_.end()) {
        Encoded entry{ after, update.revision, update.reachable, now + reuseTime, false, nullptr };
        std::string bytes = encode();
        if (bytes.size() >= minCompressedBytes) {
            Result<std::string> compressed = gzip(bytes);
            entry.compressed = isOk(compressed);
            bytes = isOk(compressed) ? std::move(valueOf(compressed)) : std::move(bytes);
        }
        entry.bytes = std::make_shared<const std::string>(std::move(bytes));
        if (encoded_.size() >= maxEncoded) {
            encoded_.pop_front();
        }
        found = encoded_.insert(encoded_.end(), std::move(entry));
    }
    WholeAnswer answer;
    answer.sharedBody = found->bytes;
    if (found->compressed) {
        answer.fields.set(boost::beast::http::field::content_encoding, "gzip");
    }
    return answer;
}

} // namespace Portpaddle
