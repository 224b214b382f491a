// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The HTTP server for callers: chat completions, models, plain services and the list of entry VMs.
#pragma once

#include "portpaddle/base/activity_counter.h"
#include "portpaddle/base/http_server.h"
#include "portpaddle/base/worker_pool.h"
#include "portpaddle/interfaces/attempt_target.h"

namespace Portpaddle {

class AnswerChannel;
class Authenticator;
class Blackboard;
class Clock;
class Dispatcher;
class Metrics;
class RandomSource;

/// The dependencies of the entry server; the referenced objects must outlive it.
struct EntryParts
{
    std::string daemon;
    Blackboard &board;
    const Clock &clock;
    RandomSource &random;
    Metrics &metrics;
    Authenticator &authenticator;
    Dispatcher &dispatcher;
    std::size_t maximumStreams = 1024;
};

/// Authenticates the requests of callers and runs them within their limits.
class EntryServer
{
public:
    explicit EntryServer(EntryParts parts);
    ~EntryServer();

    Result<SocketAddress> start(const SocketAddress &address);
    /// Waits until no request is in progress; new ones are refused while the blackboard is set to draining.
    void finishRequests();
    void stop();
    std::size_t requestsInProgress() const;

private:
    class Handler;

    void addRoutes();

    EntryParts parts_;
    ActivityCounter activity_;
    WorkerPool streams_;
    HttpServer server_;
};

} // namespace Portpaddle
