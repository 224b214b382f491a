// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A stand-in for a model engine with slots, a prefix cache, priorities, resumed and cancelled streams, load reports and fenced
/// orders.
#pragma once

#include "portpaddle/base/http_server.h"

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// Capacity, speed and behaviour of the stand-in. A prefill rate of zero takes no time.
struct EngineStandInConfig
{
    unsigned slots = 8;
    unsigned queueLimit = 64;
    Millis tokenTime{ 0 };
    double prefillTokensPerSecond = 0;
    std::size_t cachedPrefixes = 64;
    /// The age that a load report reaches before the next one is made.
    Millis reportLag{ 0 };
    bool checksFence = true;
};

/// An order as the engine received it, and whether its fence allowed it.
struct ReceivedOrder
{
    std::string order;
    std::string subject;
    std::uint64_t fence = 0;
    bool accepted = false;
};

/// Serves chat completions whose text depends only on the prompt, so that a test can compare a resumed stream with a whole one.
class EngineStandIn
{
public:
    explicit EngineStandIn(EngineStandInConfig config = {});
    ~EngineStandIn();

    Result<SocketAddress> start(const SocketAddress &address = {});
    void stop();

    void setLeaving(bool leaving);
    /// Breaks each stream after it has sent @p tokens tokens; without a value streams run to their end.
    void breakAfter(std::optional<unsigned> tokens);
    /// Pauses each request before the token with index @p tokens; without a value all requests continue.
    void holdAt(std::optional<unsigned> tokens);
    /// Waits until at least @p count requests run.
    void awaitRunning(unsigned count);
    /// Waits until callers have cancelled at least @p count requests.
    void awaitCancelled(unsigned count);

    unsigned started() const;
    unsigned prefixHits() const;
    unsigned running() const;
    unsigned tokensProduced() const;
    unsigned cancelled() const;
    std::vector<ReceivedOrder> orders() const;
    /// Returns the whole answer of @p tokens tokens to a prompt.
    static std::string answerText(const std::string &prompt, unsigned tokens);

private:
    struct Job;

    void addRoutes();
    void chat(const httplib::Request &request, httplib::Response &response);
    void stream(std::shared_ptr<Job> job, httplib::Response &response);
    void load(httplib::Response &response);
    void receiveOrder(const httplib::Request &request, httplib::Response &response);
    bool acquireSlot(bool interactive);
    void releaseSlot();
    void prefill(const Job &job);
    void waitWhileHeld(unsigned token);

    const EngineStandInConfig config_;
    HttpServer server_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    unsigned running_ = 0;
    unsigned queuedInteractive_ = 0;
    unsigned queuedDeferrable_ = 0;
    unsigned started_ = 0;
    unsigned prefixHits_ = 0;
    unsigned cancelled_ = 0;
    unsigned tokens_ = 0;
    bool leaving_ = false;
    bool stopping_ = false;
    std::optional<unsigned> breakAfter_;
    std::optional<unsigned> holdAt_;
    std::list<std::string> cache_;
    std::uint64_t highestFence_ = 0;
    std::vector<ReceivedOrder> orders_;
    std::string lastReport_;
    Millis reportedAt_{ 0 };
};

} // namespace Portpaddle
