// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/stream_versions/version_set_writer.h"

#include "portpaddle/base/log.h"

#include <utility>

namespace Portpaddle {

VersionSetWriter::VersionSetWriter(VersionSetStore &store) : store_(store)
{
}

VersionSetWriter::~VersionSetWriter()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    queued_.notify_one();
    thread_.join();
}

void VersionSetWriter::start()
{
    thread_ = Thread("version_sets", [this] { run(); });
}

void VersionSetWriter::write(const VersionSetPlace &place, const VersionSet &set)
{
    {
        const std::lock_guard lock(mutex_);
        pending_[place] = set;
    }
    queued_.notify_one();
}

void VersionSetWriter::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        queued_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
        const std::map<VersionSetPlace, VersionSet> due = std::exchange(pending_, {});
        lock.unlock();
        for (const auto &[place, set] : due) {
            writeNow(place, set);
        }
        lock.lock();
    }
}

void VersionSetWriter::writeNow(const VersionSetPlace &place, const VersionSet &set)
{
    const Status written = store_.writeVersionSet(place, set);
    // A conflict means that another daemon wrote first.
    if (!isOk(written) && errorOf(written).code != ErrorCode::VersionConflict) {
        logEvent(LogEvent::VersionSetNotWritten,
                 { { "service", place.service }, { "region", place.region }, { "message", errorOf(written).message } });
    }
}

} // namespace Portpaddle
