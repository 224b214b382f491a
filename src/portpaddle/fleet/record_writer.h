// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Writes records to the platform's store that must survive even if all daemons stop at once.
#pragma once

#include "portpaddle/base/log.h"
#include "portpaddle/base/thread.h"
#include "portpaddle/interfaces/leased_store.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace Portpaddle {

/// A key, its value and its lifetime.
struct LeasedRecord
{
    std::string key;
    std::string text;
    Millis lease{ 0 };
    /// Logged if the store does not accept the record.
    LogEvent failureEvent = LogEvent::QuarantineNotWritten;
};

/// Writes records from a thread of its own until it is destroyed. Every record has a lease of its own and expires with it.
class RecordWriter
{
public:
    explicit RecordWriter(LeasedStore &store);
    ~RecordWriter();

    void start();
    /// Queues @p record, replacing one with the same key; a full queue drops new keys. Does not block. Thread-safe.
    void write(LeasedRecord record);

private:
    void run();
    /// Returns false if the store did not accept @p record.
    bool tryWrite(const LeasedRecord &record);

    LeasedStore &store_;
    std::mutex mutex_;
    /// Records to be written, by key.
    std::map<std::string, LeasedRecord> pending_;
    std::atomic<bool> stopping_{ false };
    Thread thread_;
};

} // namespace Portpaddle
