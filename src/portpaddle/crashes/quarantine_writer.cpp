// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/quarantine_writer.h"

#include "portpaddle/base/log.h"

#include <thread>
#include <vector>

namespace Portpaddle {

namespace {

constexpr Millis pauseStep{ 50 };
// After a call that failed: a store that is back is told within half a second.
constexpr Millis pauseAfterFailure{ 500 };
// Only that the record is there counts; operators read in the log what it is about.
constexpr const char *recordText = "{}";

} // namespace

QuarantineWriter::QuarantineWriter(LeasedStore &store) : store_(store)
{
}

QuarantineWriter::~QuarantineWriter()
{
    stopping_ = true;
    thread_.join();
}

void QuarantineWriter::start()
{
    thread_ = Thread("quarantine", [this] { run(); });
}

void QuarantineWriter::write(const RequestFingerprint &request)
{
    const std::lock_guard lock(mutex_);
    if (waiting_.size() < mostQuarantined) {
        waiting_.insert(request);
    }
}

void QuarantineWriter::run()
{
    while (!stopping_) {
        std::vector<RequestFingerprint> due;
        {
            const std::lock_guard lock(mutex_);
            due.assign(waiting_.begin(), waiting_.end());
        }
        bool well = true;
        for (const RequestFingerprint &request : due) {
            well = well && !stopping_ && writeNow(request);
        }
        std::this_thread::sleep_for(well ? pauseStep : pauseAfterFailure);
    }
}

bool QuarantineWriter::writeNow(const RequestFingerprint &request)
{
    const Result<LeaseGrant> grant = store_.grantLease(quarantineTime);
    if (!isOk(grant)) {
        logEvent(LogEvent::QuarantineNotWritten, { { "message", errorOf(grant).message } });
        return false;
    }
    const Result<std::uint64_t> written = store_.write(quarantineRecordPrefix + request.hex(), recordText, valueOf(grant).id);
    if (!isOk(written)) {
        logEvent(LogEvent::QuarantineNotWritten, { { "message", errorOf(written).message } });
        return false;
    }
    const std::lock_guard lock(mutex_);
    waiting_.erase(request);
    return true;
}

} // namespace Portpaddle
