// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/link/link_server.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/dispatch/dispatcher.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/link/call_frame.h"

#include <algorithm>
#include <condition_variable>

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Portpaddle {

namespace {

constexpr std::size_t maxWorkers = 1024;
constexpr std::size_t maxLinks = 1024;
constexpr std::size_t maxStreamsPerLink = 1024;
constexpr std::size_t maxDataFrameBytes = 16 * 1024;
constexpr std::uint32_t maxCredit = 16 * 1024 * 1024;
constexpr int listenBacklog = 256;
constexpr Millis handshakeTimeout{ 2'000 };
constexpr Millis acceptCheckInterval{ 100 };

Error notRun(ErrorCode code, std::string message)
{
    return Error{ code, std::move(message), RunState::NotRun, std::nullopt };
}

/// Sends one answer as frames, limited by the flow-control credit that the peer granted.
class LinkAnswerSink : public AnswerSink
{
public:
    LinkAnswerSink(std::shared_ptr<FrameSocket> socket, std::uint32_t stream, std::uint32_t credit)
        : socket_(std::move(socket)), stream_(stream), credit_(std::min(credit, maxCredit))
    {
    }

    bool head(const AnswerHead &head) override
    {
        return !receiverGone() && socket_->write(frameOf(headFrame(stream_, head)));
    }

    bool data(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const std::size_t size = takeCredit(std::min(bytes.size(), maxDataFrameBytes));
            if (size == 0) {
                return false;
            }
            Wire::AnswerDataT frame;
            frame.stream = stream_;
            frame.bytes.assign(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size));
            if (!socket_->write(frameOf(std::move(frame)))) {
                return false;
            }
            bytes.remove_prefix(size);
        }
        return true;
    }

    bool receiverGone() const override
    {
        const std::lock_guard lock(mutex_);
        return receiverGone_;
    }

    void onReceiverGone(std::function<void()> hook) override
    {
        const std::lock_guard lock(mutex_);
        hook_ = std::move(hook);
        if (receiverGone_ && hook_) {
            hook_();
        }
    }

    void addCredit(std::uint32_t bytes)
    {
        const std::lock_guard lock(mutex_);
        credit_ = std::min(maxCredit, credit_ + std::min(bytes, maxCredit));
        changed_.notify_all();
    }

    void cancel()
    {
        const std::lock_guard lock(mutex_);
        if (receiverGone_) {
            return;
        }
        receiverGone_ = true;
        changed_.notify_all();
        if (hook_) {
            hook_();
        }
    }

private:
    std::size_t takeCredit(std::size_t wanted)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return receiverGone_ || credit_ > 0; });
        if (receiverGone_) {
            return 0;
        }
        const std::size_t taken = std::min<std::size_t>(wanted, credit_);
        credit_ -= static_cast<std::uint32_t>(taken);
        return taken;
    }

    std::shared_ptr<FrameSocket> socket_;
    const std::uint32_t stream_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint32_t credit_;
    std::function<void()> hook_;
    bool receiverGone_ = false;
};

} // namespace

std::optional<Error> checkForwarded(const Call &call, const std::vector<std::string> &residency, std::uint64_t settingsVersion,
                                    const CompiledSettings &settings, bool draining)
{
    const RequestFacts &facts = call.facts;
    const RequestPolicy &policy = settings.policy(facts.organisation, facts.service);
    const Place &place = settings.place();
    if (draining) {
        return notRun(ErrorCode::Stopping, "this VM is stopping");
    }
    if (settingsVersion > settings.version()) {
        return notRun(ErrorCode::SettingsTooOld, fmt::format("settings version {} is not in force here yet", settingsVersion));
    }
    if (std::find(facts.visited.begin(), facts.visited.end(), place.dataCentre) != facts.visited.end()) {
        return notRun(ErrorCode::LoopRefused, "the request has already visited this data centre");
    }
    if (facts.visited.size() > policy.hopLimit) {
        return notRun(ErrorCode::HopLimitReached, "the request exceeds its hop limit");
    }
    const bool senderForbids
        = !residency.empty() && std::find(residency.begin(), residency.end(), place.region) == residency.end();
    if (senderForbids || !policy.allowsRegion(place.region)) {
        return notRun(ErrorCode::ResidencyForbids, "the request must not be served from this region");
    }
    return std::nullopt;
}

/// One link from another daemon.
class LinkServer::Session
{
public:
    Session(LinkServer &server, int descriptor)
        : server_(server), socket_(std::make_shared<FrameSocket>(descriptor, server.parts_.metrics))
    {
        thread_ = Thread("link-serve", [this] { serve(); });
    }

    ~Session()
    {
        socket_->shutDown();
        thread_.join();
    }

    bool ended() const
    {
        return ended_;
    }

    void shutDown()
    {
        socket_->shutDown();
    }

private:
    void serve()
    {
        socket_->setReadTimeout(handshakeTimeout);
        const std::optional<PeerIdentity> peer = acceptHandshake(*socket_, server_.parts_.self, server_.parts_.clusterKey);
        if (!peer) {
            server_.parts_.metrics.count(Counter::PeersRejected);
            logEvent(LogEvent::LinkRejected);
        } else {
            peer_ = *peer;
            socket_->setReadTimeout(Millis{ 0 });
            while (std::optional<Wire::LinkFrameT> frame = socket_->read()) {
                if (!handle(*frame)) {
                    logEvent(LogEvent::LinkRejected, { { "peer", peer_.node } });
                    break;
                }
            }
        }
        socket_->shutDown();
        cancelAll();
        ended_ = true;
    }

    /// Handles a frame; returns false if the peer violated the protocol or the link failed.
    bool handle(const Wire::LinkFrameT &frame)
    {
        switch (frame.body.type) {
        case Wire::LinkBody::OpenRequest:
            return openRequest(*frame.body.AsOpenRequest());
        case Wire::LinkBody::AnswerCredit:
            return withStream(frame.body.AsAnswerCredit()->stream,
                              [&](LinkAnswerSink &sink) { sink.addCredit(frame.body.AsAnswerCredit()->bytes); });
        case Wire::LinkBody::CancelRequest:
            return withStream(frame.body.AsCancelRequest()->stream, [](LinkAnswerSink &sink) { sink.cancel(); });
        case Wire::LinkBody::Query:
            return replyTo(*frame.body.AsQuery());
        default:
            return false;
        }
    }

    template<typename Action>
    bool withStream(std::uint32_t id, const Action &action)
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(id);
        if (found != streams_.end()) {
            action(*found->second);
        }
        return true;
    }

    bool openRequest(const Wire::OpenRequestT &frame)
    {
        const LinkServerParts &parts = server_.parts_;
        parts.metrics.count(Counter::ReceivedFromPeers);
        Call call = callFromFrame(frame, parts.clock.monotonic());
        const std::shared_ptr<const CompiledSettings> settings = parts.board.settings.read();
        if (frame.settings_version > settings->version() && parts.onNewerSettings) {
            parts.onNewerSettings(peer_.node, frame.settings_version);
        }
        std::optional<Error> refusal
            = checkForwarded(call, frame.residency, frame.settings_version, *settings, parts.board.draining);
        if (refusal) {
            return socket_->write(frameOf(endFrame(frame.stream, *refusal)));
        }
        const ServiceSettings *service = settings->service(call.facts.service);
        call.retryable = service != nullptr && !call.atMostOnce
            && (service->kind == ServiceKind::Model || service->isRetryable(call.method));
        const auto sink = std::make_shared<LinkAnswerSink>(socket_, frame.stream, frame.credit);
        {
            const std::lock_guard lock(mutex_);
            if (streams_.size() >= maxStreamsPerLink || !streams_.emplace(frame.stream, sink).second) {
                return false;
            }
        }
        const auto guard = std::make_shared<ActivityGuard>(server_.activity_);
        activeRuns_.begin();
        const bool taken = server_.workers_.submit([this, guard, sink, stream = frame.stream, call = std::move(call)]() mutable {
            run(std::move(call), *sink, stream);
        });
        if (!taken) {
            activeRuns_.end();
            removeStream(frame.stream);
            Error full = notRun(ErrorCode::Overloaded, "this VM has reached its limit of forwarded requests");
            full.retryAfter = Millis{ 1000 };
            return socket_->write(frameOf(endFrame(frame.stream, full)));
        }
        return true;
    }

    void run(Call call, LinkAnswerSink &sink, std::uint32_t stream)
    {
        const Status status = server_.parts_.dispatcher.run(std::move(call), sink);
        removeStream(stream);
        socket_->write(frameOf(endFrame(stream, status)));
        activeRuns_.end();
    }

    void removeStream(std::uint32_t stream)
    {
        const std::lock_guard lock(mutex_);
        streams_.erase(stream);
    }

    bool replyTo(const Wire::QueryT &query)
    {
        // Queries are answered from memory and in order, so the reply to a later ping proves that the link is alive.
        const std::optional<std::string> text = server_.parts_.answerQuery(peer_, query.kind, query.argument);
        Wire::ReplyT reply;
        reply.stream = query.stream;
        reply.found = text.has_value();
        reply.text = text.value_or("");
        return socket_->write(frameOf(std::move(reply)));
    }

    void cancelAll()
    {
        {
            const std::lock_guard lock(mutex_);
            for (auto &[id, sink] : streams_) {
                sink->cancel();
            }
        }
        // The session must outlive the runs that use it.
        activeRuns_.waitUntilIdle();
    }

    LinkServer &server_;
    std::shared_ptr<FrameSocket> socket_;
    PeerIdentity peer_;
    std::mutex mutex_;
    ActivityCounter activeRuns_;
    std::unordered_map<std::uint32_t, std::shared_ptr<LinkAnswerSink>> streams_;
    std::atomic<bool> ended_{ false };
    Thread thread_;
};

LinkServer::LinkServer(LinkServerParts parts) : parts_(std::move(parts)), workers_("link-run", maxWorkers, 0)
{
}

LinkServer::~LinkServer()
{
    stop();
}

Result<SocketAddress> LinkServer::start(const SocketAddress &address)
{
    const Error failed{ ErrorCode::Internal, fmt::format("cannot listen for links at {}", toText(address)), RunState::NotRun,
                        std::nullopt };
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in native = toNative(address);
    if (listener_ < 0 || bind(listener_, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0
        || listen(listener_, listenBacklog) != 0) {
        return failed;
    }
    socklen_t length = sizeof native;
    getsockname(listener_, reinterpret_cast<sockaddr *>(&native), &length);
    acceptor_ = Thread("link-accept", [this] { acceptLinks(); });
    return fromNative(native);
}

void LinkServer::finishRequests()
{
    activity_.waitUntilIdle();
}

void LinkServer::stop()
{
    if (stopping_.exchange(true)) {
        return;
    }
    acceptor_.join();
    if (listener_ >= 0) {
        close(listener_);
    }
    {
        const std::lock_guard lock(mutex_);
        for (const std::unique_ptr<Session> &session : sessions_) {
            session->shutDown();
        }
        sessions_.clear();
    }
    workers_.stop();
}

void LinkServer::acceptLinks()
{
    while (!stopping_) {
        pollfd waiting{ listener_, POLLIN, 0 };
        removeEndedSessions();
        if (poll(&waiting, 1, static_cast<int>(acceptCheckInterval.count())) != 1) {
            continue;
        }
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const std::lock_guard lock(mutex_);
        if (sessions_.size() >= maxLinks) {
            close(descriptor);
            continue;
        }
        sessions_.push_back(std::make_unique<Session>(*this, descriptor));
    }
}

void LinkServer::removeEndedSessions()
{
    const std::lock_guard lock(mutex_);
    std::erase_if(sessions_, [](const std::unique_ptr<Session> &session) { return session->ended(); });
}

} // namespace Portpaddle
