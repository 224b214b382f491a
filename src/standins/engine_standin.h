// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A small stand-in for a model engine: bounded batch, prefix cache, priorities, resume, cancel, load reports, fenced orders.
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

/// How the stand-in behaves.
struct EngineStandInConfig
{
    unsigned slots = 8;
    unsigned queueLimit = 64;
    Millis tokenTime{ 0 };
    double prefillTokensPerSecond = 0;
    std::size_t cachedPrefixes = 64;
    Millis reportLag{ 0 };
    bool checksFence = true;
};

/// An order as the engine received it.
struct ReceivedOrder
{
    std::string order;
    std::string subject;
    std::uint64_t fence = 0;
    bool accepted = false;
};

/// Serves chat completions whose text depends on the prompt alone, so that a resumed stream can be compared.
class EngineStandIn
{
public:
    explicit EngineStandIn(EngineStandInConfig config = {});
    ~EngineStandIn();

    Result<SocketAddress> start(const SocketAddress &address = {});
    void stop();

    void setLeaving(bool leaving);
    /// Streams break after this many tokens of theirs; none lets them run.
    void breakAfter(std::optional<unsigned> tokens);
    /// While held, no stream gets beyond @p tokens; none releases all.
    void holdAt(std::optional<unsigned> tokens);
    /// Waits until @p count requests run.
    void awaitRunning(unsigned count);
    /// Waits until @p count requests were cancelled by their callers.
    void awaitCancelled(unsigned count);

    unsigned started() const;
    unsigned prefixHits() const;
    unsigned running() const;
    unsigned tokensProduced() const;
    unsigned cancelled() const;
    std::vector<ReceivedOrder> orders() const;
    /// The whole text that the stand-in answers to a prompt.
    static std::string answerText(const std::string &prompt, unsigned tokens);

private:
    struct Job;

    void addRoutes();
    void chat(const httplib::Request &request, httplib::Response &response);
    void stream(std::shared_ptr<Job> job, httplib::Response &response);
    void load(httplib::Response &response);
    void takeOrder(const httplib::Request &request, httplib::Response &response);
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
