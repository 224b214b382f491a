// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The accepting end of links, which checks every forwarded request again and runs it on this daemon.
#pragma once

#include "portpaddle/base/activity_counter.h"
#include "portpaddle/base/thread.h"
#include "portpaddle/base/worker_pool.h"
#include "portpaddle/link/handshake.h"
#include "portpaddle/link/link_frame.h"
#include "portpaddle/routing/blackboard.h"

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Portpaddle {

struct Call;
class Clock;
class Dispatcher;
class Metrics;

/// Answers a query of another daemon; returns no value if there is no answer.
using QueryHandler
    = std::function<std::optional<std::string>(const PeerIdentity &peer, const std::string &kind, const std::string &argument)>;

/// The dependencies of the link server; the referenced objects must outlive it.
struct LinkServerParts
{
    PeerIdentity self;
    std::string clusterKey;
    Blackboard &board;
    const Clock &clock;
    Metrics &metrics;
    Dispatcher &dispatcher;
    QueryHandler answerQuery;
    /// Called when a request was forwarded under settings newer than those in force here.
    std::function<void(const std::string &daemon, std::uint64_t version)> onNewerSettings;
};

/// Returns the reason why a forwarded request must not run here, or no value if it may. Depends on the arguments only.
std::optional<Error> checkForwarded(const Call &call, const std::vector<std::string> &residency, std::uint64_t settingsVersion,
                                    const CompiledSettings &settings, bool draining);

/// Accepts links from other daemons and runs the requests that they forward.
class LinkServer
{
public:
    explicit LinkServer(LinkServerParts parts);
    ~LinkServer();

    Result<SocketAddress> start(const SocketAddress &address);
    /// Waits until no forwarded request is in progress.
    void finishRequests();
    void stop();

private:
    class Session;

    void acceptLinks();
    void removeEndedSessions();

    LinkServerParts parts_;
    WorkerPool workers_;
    int listener_ = -1;
    std::atomic<bool> stopping_{ false };
    ActivityCounter activity_;
    std::mutex mutex_;
    std::list<std::unique_ptr<Session>> sessions_;
    Thread acceptor_;
};

} // namespace Portpaddle
