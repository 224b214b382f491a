// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Writes version sets to the store without blocking the event loop.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/base/thread.h"
#include "portpaddle/stream_versions/version_sets.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace Portpaddle {

/// Where version sets are kept. Calls block.
class VersionSetStore
{
public:
    virtual ~VersionSetStore() = default;
    /// Writes the set of @p place. VersionConflict if the stored record does not have the revision of @p set; zero stands for no
    /// record.
    virtual Status writeVersionSet(const VersionSetPlace &place, const VersionSet &set) = 0;
};

/// Tries each set once, on a thread of its own; whoever decides about the sets tries again.
class VersionSetWriter
{
public:
    explicit VersionSetWriter(VersionSetStore &store);
    ~VersionSetWriter();

    void start();
    /// Queues @p set, replacing one of the same place. Does not block. Thread-safe.
    void write(const VersionSetPlace &place, const VersionSet &set);

private:
    void run();
    void writeNow(const VersionSetPlace &place, const VersionSet &set);

    VersionSetStore &store_;
    std::mutex mutex_;
    std::condition_variable queued_;
    std::map<VersionSetPlace, VersionSet> pending_;
    bool stopping_ = false;
    Thread thread_;
};

} // namespace Portpaddle
