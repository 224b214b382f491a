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

/// The dependencies of the observer; the referenced objects must outlive it.
struct ObserverParts
{
    Blackboard &board;
    const Clock &clock;
    /// Whether this daemon observes an upstream.
    std::function<bool(const std::string &upstream)> observes;
    /// Announces a report to the other daemons of the data centre.
    std::function<void(const UpstreamReport &)> announce;
    /// Called after each round of polls.
    std::function<void()> onChanged;
    Millis interval{ 500 };
};

/// Asks an upstream for its load; the report is marked as not reachable if there is no valid answer.
UpstreamReport fetchLoad(const std::string &upstream, const std::string &address, std::uint64_t sequence, const Clock &clock);

/// Polls the observed upstreams in its own thread.
class ObserverController
{
public:
    explicit ObserverController(ObserverParts parts);
    ~ObserverController();
    void start();
    void stop();

private:
    void run();
    /// Polls each observed upstream once; returns their number.
    std::size_t pollAll();

    ObserverParts parts_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::unordered_map<std::string, std::uint64_t> sequences_;
    Thread thread_;
};

} // namespace Portpaddle
