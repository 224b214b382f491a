// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reads the version sets as the store has them now, for streams that callers take up.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/base/thread.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/stream_versions/version_sets.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace Portpaddle {

/// The beginning of the keys of all records; see versionSetKey().
inline constexpr const char *versionSetPrefix = "portpaddle/versions/";

/// Where version sets are read. Calls block.
class VersionSetSource
{
public:
    virtual ~VersionSetSource() = default;
    /// Returns all sets. The read holds every change that was made before it began.
    virtual Result<VersionSets> readVersionSets() = 0;
};

/// Reads on a thread of its own; all who wait share the next read.
class VersionSetReader
{
public:
    /// Receives the sets; no value if the store did not answer.
    using Receive = std::function<void(const std::optional<VersionSets> &sets)>;
    /// Returns the least time between the beginnings of two reads.
    using Interval = std::function<Millis()>;

    VersionSetReader(VersionSetSource &source, Interval interval);
    ~VersionSetReader();

    void start();
    /// Calls @p receive with a read that begins after this call, on the reader's thread. Does not block. Thread-safe.
    void read(Receive receive);

private:
    void run();
    /// Waits until someone wants a read and the next one is due.
    void awaitDemand(std::unique_lock<std::mutex> &lock);

    VersionSetSource &source_;
    Interval interval_;
    SteadyTime nextReadAt_{};
    std::mutex mutex_;
    std::condition_variable wanted_;
    std::vector<Receive> waiting_;
    bool stopping_ = false;
    Thread thread_;
};

} // namespace Portpaddle
