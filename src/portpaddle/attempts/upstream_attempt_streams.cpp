// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Answers that are streams: their complete events are passed on as they arrive.

#include "portpaddle/attempts/upstream_attempt.h"
#include "portpaddle/net/answer_framing.h"
#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/http_status.h"
#include "portpaddle/net/peer_bounds.h"

#include <fmt/format.h>

#include <utility>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

/// Counts the buffer of an event that is not complete in @p share; returns false if there is no memory for it.
bool holds(MemoryShare &share, const std::string &partial)
{
    share.release();
    return partial.capacity() <= PeerBounds::uncountedEventBytes || share.growTo(partial.capacity());
}

} // namespace

Task<AttemptReport> UpstreamAttempt::forwardStream(Parser &parser, const AttemptCallbacks &callbacks)
{
    const http::fields &fields = parser.get();
    if (!namesVersion(fields)) {
        co_return failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                                "the other daemon does not name the stream's version");
    }
    const std::string &lastId = progress_.splitter.lastId();
    progress_.splitter.expectAfter(lastId.empty() ? takenUpAfter_ : lastId);
    NetError error;
    MemoryShare held(&answerMemory_);
    bool first = true;
    while (!parser.is_done()) {
        co_await readMore(*connection_, parser, error);
        // Bytes that were read before the interruption may be another attempt's by now.
        if (interrupted_) {
            progress_.splitter.dropPartial();
            co_return brokenConnection("the stream was given up");
        }
        const std::string bytes = std::move(parser.get().body());
        parser.get().body().clear();
        if (first && !bytes.empty()) {
            first = false;
            callbacks.firstEvent();
        }
        isPassingOn_ = true;
        const bool ended = parser.is_done() && !error;
        const bool taken = co_await forwardEvents(parser, bytes, ended, callbacks);
        isPassingOn_ = false;
        if (!taken) {
            co_return failedAttempt(AttemptEnd::ReceiverGone, ErrorCode::Cancelled, "the caller disconnected");
        }
        if (progress_.splitter.outOfOrder()) {
            co_return noRest(*progress_.splitter.outOfOrder());
        }
        if (error) {
            progress_.splitter.dropPartial();
            co_return brokenConnection("the stream was cut off: " + error.message());
        }
        if (progress_.splitter.bytesSinceEvent() > PeerBounds::eventBytes) {
            progress_.splitter.dropPartial();
            co_return failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                                    "an event of the stream is too long, or its bytes are no events");
        }
        if (!holds(held, progress_.splitter.partial())) {
            progress_.splitter.dropPartial();
            co_return failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "no memory for a long event of the stream");
        }
    }
    if (!progress_.splitter.partial().empty()) {
        progress_.splitter.dropPartial();
        co_return failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "the stream ended within an event");
    }
    const std::string_view unfinished = remote_ ? viewOf(fields[continueAtHeader]) : std::string_view{};
    if (!unfinished.empty()) {
        AttemptReport report = failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                                             "the other daemon stops before the stream is complete");
        report.continuation = decodeContinuation(unfinished);
        co_return report;
    }
    AttemptReport report;
    report.sent = true;
    co_return report;
}

// An upstream that begins the stream again may write another text, and the caller must not get its events twice.
AttemptReport UpstreamAttempt::noRest(const EventOutOfOrder &event)
{
    AttemptReport report
        = failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                        fmt::format("an event with id \"{}\" in place of the rest after id \"{}\"", event.id, event.precedingId));
    report.isRestOutOfOrder = true;
    progress_.splitter.dropPartial();
    return report;
}

/// Forwards complete events to the caller; the head is sent with the first of them, or at the end of an empty stream.
Task<bool> UpstreamAttempt::forwardEvents(Parser &parser, std::string_view bytes, bool ended, const AttemptCallbacks &callbacks)
{
    const std::string whole = progress_.splitter.feed(bytes);
    if (!whole.empty()) {
        callbacks.bytesReceived();
        callbacks.eventsReceived(EventSplitter::count(whole));
    }
    const bool due = !whole.empty() || (ended && !progress_.splitter.outOfOrder());
    if (due && !progress_.begun) {
        const bool begun = co_await beginStream(parser, callbacks);
        if (!begun) {
            co_return false;
        }
    }
    if (whole.empty()) {
        co_return true;
    }
    co_return co_await writer_.writeChunk(whole);
}

Task<bool> UpstreamAttempt::beginStream(const Parser &parser, const AttemptCallbacks &callbacks)
{
    progress_.begun = true;
    if (!progress_.version) {
        progress_.version = remote_ ? decodeVersionKey(viewOf(head_[streamVersionHeader])) : upstreamVersion_;
    }
    callbacks.streamBegins();
    http::fields fields = fieldsForCaller(parser);
    if (relayReport_ && progress_.version) {
        fields.set(streamVersionHeader, encodeVersionKey(*progress_.version));
    }
    co_return co_await writer_.begin(parser.get().result_int(), std::move(fields));
}

// An answer that ends with its head has no events; it can only be the rest of a stream whose events were all sent.
bool UpstreamAttempt::isStream(const Parser &parser) const
{
    const unsigned status = parser.get().result_int();
    const bool mayHaveEvents = hasBody(request_.message.method(), status) && (progress_.begun || !parser.is_done());
    return HttpStatus::isSuccess(status) && mayHaveEvents;
}

} // namespace Portpaddle
