// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Writes rollout records to the store without blocking the event loop.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/base/thread.h"
#include "portpaddle/rollouts/rollout.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

namespace Portpaddle {

/// Where rollout records are kept. Calls block.
class RolloutStore
{
public:
    virtual ~RolloutStore() = default;
    /// Writes @p record and tells the operator its stage. VersionConflict if the stored record does not have the revision
    /// @p expectedRevision; zero stands for no record.
    virtual Status writeRollout(const RolloutRecord &record, std::uint64_t expectedRevision) = 0;
};

/// Tries each record once, on a thread of its own; whoever decides about rollouts tries again.
class RolloutWriter
{
public:
    explicit RolloutWriter(RolloutStore &store);
    ~RolloutWriter();

    void start();
    /// Queues @p record, replacing one of the same service. Does not block. Thread-safe.
    void write(const RolloutRecord &record, std::uint64_t expectedRevision);

private:
    struct Pending
    {
        RolloutRecord record;
        std::uint64_t expectedRevision = 0;
    };

    void run();
    void writeNow(const Pending &pending);

    RolloutStore &store_;
    std::mutex mutex_;
    std::condition_variable queued_;
    /// By service.
    std::map<std::string, Pending> pending_;
    bool stopping_ = false;
    Thread thread_;
};

} // namespace Portpaddle
