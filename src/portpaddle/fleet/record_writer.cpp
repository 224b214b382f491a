// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/fleet/record_writer.h"

#include <thread>
#include <utility>
#include <vector>

namespace Portpaddle {

namespace {

constexpr Millis pauseStep{ 50 };
// After a call that failed: a store that is back is told within half a second.
constexpr Millis pauseAfterFailure{ 500 };
constexpr std::size_t maxWaiting = 1'024;

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
    if (waiting_.size() < maxWaiting || waiting_.contains(record.key)) {
        std::string key = record.key;
        waiting_[std::move(key)] = std::move(record);
    }
}

void RecordWriter::run()
{
    while (!stopping_) {
        std::vector<LeasedRecord> due;
        {
            const std::lock_guard lock(mutex_);
            for (const auto &[key, record] : waiting_) {
                due.push_back(record);
            }
        }
        bool well = true;
        for (const LeasedRecord &record : due) {
            well = well && !stopping_ && writeNow(record);
        }
        std::this_thread::sleep_for(well ? pauseStep : pauseAfterFailure);
    }
}

bool RecordWriter::writeNow(const LeasedRecord &record)
{
    const Result<LeaseGrant> grant = store_.grantLease(record.lease);
    if (!isOk(grant)) {
        logEvent(record.notWritten, { { "message", errorOf(grant).message } });
        return false;
    }
    const Result<std::uint64_t> written = store_.write(record.key, record.text, valueOf(grant).id);
    if (!isOk(written)) {
        logEvent(record.notWritten, { { "message", errorOf(written).message } });
        return false;
    }
    const std::lock_guard lock(mutex_);
    const auto waiting = waiting_.find(record.key);
    if (waiting != waiting_.end() && waiting->second.text == record.text) {
        waiting_.erase(waiting);
    }
    return true;
}

} // namespace Portpaddle
