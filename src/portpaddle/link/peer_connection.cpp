// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/link/peer_connection.h"

#include "portpaddle/base/log.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/link/call_frame.h"

#include <algorithm>

namespace Portpaddle {

namespace {

/// Bytes that the peer may send before the caller has read them.
constexpr std::uint32_t streamCredit = 64 * 1024;
/// Bytes that may be queued for one stream: the credit and room for the frames of the head and the end.
constexpr std::size_t maxQueuedBytes = 2 * streamCredit;
constexpr Millis checkInterval{ 200 };
/// A silent link with open requests is pinged after `pingAfter` and closed after `closeAfter`.
constexpr Millis pingAfter{ 1'000 };
constexpr Millis closeAfter{ 4'000 };
/// Stream id of frames that belong to the link itself.
constexpr std::uint32_t linkStream = 0;

AttemptResult broken(std::string message)
{
    return AttemptResult{ AttemptEnd::Broken,
                          Error{ ErrorCode::PeerUnreachable, std::move(message), RunState::MayHaveRun, std::nullopt } };
}

std::uint32_t streamOf(const Wire::LinkFrameT &frame)
{
    switch (frame.body.type) {
    case Wire::LinkBody::AnswerHead:
        return frame.body.AsAnswerHead()->stream;
    case Wire::LinkBody::AnswerData:
        return frame.body.AsAnswerData()->stream;
    case Wire::LinkBody::AnswerEnd:
        return frame.body.AsAnswerEnd()->stream;
    case Wire::LinkBody::Reply:
        return frame.body.AsReply()->stream;
    default:
        return linkStream;
    }
}

std::size_t bytesOf(const Wire::LinkFrameT &frame)
{
    const Wire::AnswerDataT *data = frame.body.AsAnswerData();
    return data == nullptr ? 0 : data->bytes.size();
}

} // namespace

PeerConnection::PeerConnection(std::unique_ptr<FrameSocket> socket, PeerIdentity peer, const Clock &clock)
    : socket_(std::move(socket))
    , peer_(std::move(peer))
    , clock_(clock)
    , lastReceivedAt_(clock.monotonic().count())
    , lastPingAt_(clock.monotonic().count())
{
    reader_ = Thread("link-read", [this] { readFrames(); });
}

PeerConnection::~PeerConnection()
{
    socket_->shutDown();
    reader_.join();
}

AttemptResult PeerConnection::run(Wire::OpenRequestT open, Millis timeLeft, AnswerSink &sink)
{
    const Millis until = clock_.monotonic() + timeLeft;
    const auto stream = std::make_shared<Stream>();
    const std::uint32_t id = openStream(stream);
    open.stream = id;
    open.credit = streamCredit;
    if (!socket_->write(frameOf(std::move(open)))) {
        closeStream(id);
        // The frame was not sent completely, and the peer acts on complete frames only.
        return AttemptResult{ AttemptEnd::NotRun,
                              Error{ ErrorCode::PeerUnreachable, "the link failed before the request was sent", RunState::NotRun,
                                     std::nullopt } };
    }
    AttemptResult result = relayAnswer(id, *stream, until, sink);
    closeStream(id);
    return result;
}

Result<std::optional<std::string>> PeerConnection::ask(const std::string &kind, const std::string &argument, Millis timeout)
{
    const Error noAnswer{ ErrorCode::PeerUnreachable, "the peer daemon does not answer", RunState::NotRun, std::nullopt };
    const auto stream = std::make_shared<Stream>();
    const std::uint32_t id = openStream(stream);
    Wire::QueryT query;
    query.stream = id;
    query.kind = kind;
    query.argument = argument;
    const bool sent = socket_->write(frameOf(std::move(query)));
    const std::optional<Wire::LinkFrameT> frame = sent ? awaitFrame(*stream, clock_.monotonic() + timeout) : std::nullopt;
    closeStream(id);
    const Wire::ReplyT *reply = frame ? frame->body.AsReply() : nullptr;
    if (reply == nullptr) {
        return noAnswer;
    }
    return reply->found ? std::optional{ reply->text } : std::optional<std::string>{};
}

bool PeerConnection::isOpen() const
{
    return open_;
}

const PeerIdentity &PeerConnection::peer() const
{
    return peer_;
}

void PeerConnection::readFrames()
{
    while (std::optional<Wire::LinkFrameT> frame = socket_->read()) {
        lastReceivedAt_ = clock_.monotonic().count();
        const std::uint32_t id = streamOf(*frame);
        if (id != linkStream) {
            deliver(id, std::move(*frame));
        }
    }
    open_ = false;
    const std::lock_guard lock(mutex_);
    for (auto &[id, stream] : streams_) {
        stream->failed = true;
        stream->arrived.notify_all();
    }
    logEvent(LogEvent::LinkClosed, { { "peer", peer_.node } });
}

void PeerConnection::deliver(std::uint32_t id, Wire::LinkFrameT frame)
{
    const std::lock_guard lock(mutex_);
    const auto found = streams_.find(id);
    // Late frames of a stream that was closed are dropped.
    if (found == streams_.end()) {
        return;
    }
    Stream &stream = *found->second;
    stream.queuedBytes += bytesOf(frame);
    if (stream.queuedBytes > maxQueuedBytes) {
        stream.failed = true;
    } else {
        stream.frames.push_back(std::move(frame));
    }
    stream.arrived.notify_all();
}

std::uint32_t PeerConnection::openStream(const std::shared_ptr<Stream> &stream)
{
    const std::lock_guard lock(mutex_);
    stream->failed = !open_;
    streams_[++nextStream_] = stream;
    return nextStream_;
}

void PeerConnection::closeStream(std::uint32_t id)
{
    const std::lock_guard lock(mutex_);
    streams_.erase(id);
}

std::optional<Wire::LinkFrameT> PeerConnection::awaitFrame(Stream &stream, Millis until)
{
    std::unique_lock lock(mutex_);
    while (stream.frames.empty() && !stream.failed) {
        if (clock_.monotonic() >= until) {
            return std::nullopt;
        }
        stream.arrived.wait_for(lock, checkInterval);
        lock.unlock();
        checkPeerIsAlive();
        lock.lock();
    }
    if (stream.frames.empty()) {
        return std::nullopt;
    }
    Wire::LinkFrameT frame = std::move(stream.frames.front());
    stream.frames.pop_front();
    stream.queuedBytes -= bytesOf(frame);
    return frame;
}

void PeerConnection::checkPeerIsAlive()
{
    const std::int64_t now = clock_.monotonic().count();
    const std::int64_t silence = now - lastReceivedAt_;
    if (silence > closeAfter.count()) {
        socket_->shutDown();
        return;
    }
    std::int64_t lastPing = lastPingAt_;
    const bool due = silence > pingAfter.count() && now - lastPing > pingAfter.count();
    if (due && lastPingAt_.compare_exchange_strong(lastPing, now)) {
        Wire::QueryT ping;
        ping.kind = "ping";
        socket_->write(frameOf(std::move(ping)));
    }
}

AttemptResult PeerConnection::relayAnswer(std::uint32_t id, Stream &stream, Millis until, AnswerSink &sink)
{
    const auto cancel = [&] {
        Wire::CancelRequestT frame;
        frame.stream = id;
        socket_->write(frameOf(frame));
    };
    sink.onReceiverGone(cancel);
    AttemptResult result = broken("the link to the other data centre failed");
    while (const std::optional<Wire::LinkFrameT> frame = awaitFrame(stream, until)) {
        bool receiverPresent = true;
        if (const Wire::AnswerHeadT *head = frame->body.AsAnswerHead()) {
            receiverPresent = sink.head(headFromFrame(*head));
        } else if (const Wire::AnswerDataT *data = frame->body.AsAnswerData()) {
            receiverPresent = sink.data(std::string_view(reinterpret_cast<const char *>(data->bytes.data()), data->bytes.size()));
            Wire::AnswerCreditT credit;
            credit.stream = id;
            credit.bytes = static_cast<std::uint32_t>(data->bytes.size());
            socket_->write(frameOf(credit));
        } else if (const Wire::AnswerEndT *end = frame->body.AsAnswerEnd()) {
            const Error error = errorFromFrame(*end);
            result = end->complete ? AttemptResult{} : AttemptResult{ AttemptEnd::Broken, error };
            if (!end->complete && error.run == RunState::NotRun) {
                result.end = AttemptEnd::NotRun;
            }
            break;
        }
        if (!receiverPresent) {
            cancel();
            result = AttemptResult{ AttemptEnd::ReceiverGone,
                                    Error{ ErrorCode::Cancelled, "the caller went away", RunState::MayHaveRun, std::nullopt } };
            break;
        }
    }
    sink.onReceiverGone({});
    if (result.end == AttemptEnd::Broken && clock_.monotonic() >= until) {
        cancel();
    }
    return result;
}

} // namespace Portpaddle
