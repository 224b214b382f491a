// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps on the platform what has to outlive all daemons at once.
#pragma once

#include "portpaddle/base/log.h"
#include "portpaddle/base/thread.h"
#include "portpaddle/interfaces/leased_store.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace Portpaddle {

/// One key, its text, and how long it is to stay.
struct LeasedRecord
{
    std::string key;
    std::string text;
    Millis lease{ 0 };
    /// Logged when the platform does not take it.
    LogEvent notWritten = LogEvent::QuarantineNotWritten;
};

/// Runs a thread until it is destroyed. Records lie under leases of their own and go by themselves.
class RecordWriter
{
public:
    explicit RecordWriter(LeasedStore &store);
    ~RecordWriter();

    void start();
    /// Writes @p record as soon as the store takes it, unless another one for its key comes before; does not wait. Thread-safe.
    void write(LeasedRecord record);

private:
    void run();
    /// False where the store did not take it.
    bool writeNow(const LeasedRecord &record);

    LeasedStore &store_;
    std::mutex mutex_;
    /// By key.
    std::map<std::string, LeasedRecord> waiting_;
    std::atomic<bool> stopping_{ false };
    Thread thread_;
};

} // namespace Portpaddle
