// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Polls the load of the upstreams that this daemon observes for its data centre.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/routing/blackboard.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>

namespace Portpaddle {

class Clock;

/// What the observer works with; all must outlive it.
struct ObserverParts
{
    Blackboard &board;
    const Clock &clock;
    /// Whether this daemon observes an upstream.
    std::function<bool(const std::string &upstream)> observes;
    std::function<void(const UpstreamReport &)> tell;
    std::function<void()> onChanged;
    Millis interval{ 500 };
};

/// Asks an upstream for its load report; a report says so when it could not be reached.
UpstreamReport fetchLoad(const std::string &upstream, const std::string &address, std::uint64_t sequence, const Clock &clock);

/// Owns one thread.
class ObserverController
{
public:
    explicit ObserverController(ObserverParts parts);
    ~ObserverController();
    void start();
    void stop();

private:
    void run();
    std::size_t observeAll();

    ObserverParts parts_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::unordered_map<std::string, std::uint64_t> sequences_;
    Thread thread_;
};

} // namespace Portpaddle
