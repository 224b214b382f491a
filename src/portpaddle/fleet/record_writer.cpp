// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/record_writer.h"

#include <thread>
#include <utility>
#include <vector>

namespace Portpaddle {

namespace {

constexpr Millis pollInterval{ 50 };
// Delay after a failed call, so that a store that is available again receives the records within half a second.
constexpr Millis retryDelay{ 500 };
constexpr std::size_t maxPending = 1'024;

} // namespace

RecordWriter::RecordWriter(LeasedStore &store) : store_(store)
{
}

RecordWriter::~RecordWriter()
{
    stopping_ = true;
    thread_.join();
}

void RecordWriter::start()
{
    thread_ = Thread("records", [this] { run(); });
}

void RecordWriter::write(LeasedRecord record)
{
    const std::lock_guard lock(mutex_);
    if (pending_.size() < maxPending || pending_.contains(record.key)) {
        std::string key = record.key;
        pending_[std::move(key)] = std::move(record);
    }
}

void RecordWriter::run()
{
    while (!stopping_) {
        std::vector<LeasedRecord> due;
        {
            const std::lock_guard lock(mutex_);
            for (const auto &[key, record] : pending_) {
                due.push_back(record);
            }
        }
        bool succeeded = true;
        for (const LeasedRecord &record : due) {
            succeeded = succeeded && !stopping_ && tryWrite(record);
        }
        std::this_thread::sleep_for(succeeded ? pollInterval : retryDelay);
    }
}

bool RecordWriter::tryWrite(const LeasedRecord &record)
{
    const Result<LeaseGrant> grant = store_.grantLease(record.lease);
    if (!isOk(grant)) {
        logEvent(record.failureEvent, { { "message", errorOf(grant).message } });
        return false;
    }
    const Result<std::uint64_t> written = store_.write(record.key, record.text, valueOf(grant).id);
    if (!isOk(written)) {
        logEvent(record.failureEvent, { { "message", errorOf(written).message } });
        return false;
    }
    const std::lock_guard lock(mutex_);
    const auto pending = pending_.find(record.key);
    if (pending != pending_.end() && pending->second.text == record.text) {
        pending_.erase(pending);
    }
    return true;
}

} // namespace Portpaddle
