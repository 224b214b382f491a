// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/rollouts/rollout_writer.h"

#include "portpaddle/base/log.h"

#include <fmt/format.h>

#include <utility>

namespace Portpaddle {

RolloutWriter::RolloutWriter(RolloutStore &store) : store_(store)
{
}

RolloutWriter::~RolloutWriter()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    queued_.notify_one();
    thread_.join();
}

void RolloutWriter::start()
{
    thread_ = Thread("rollouts", [this] { run(); });
}

void RolloutWriter::write(const RolloutRecord &record, std::uint64_t expectedRevision)
{
    {
        const std::lock_guard lock(mutex_);
        pending_[record.service] = { record, expectedRevision };
    }
    queued_.notify_one();
}

void RolloutWriter::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        queued_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
        std::map<std::string, Pending> due = std::exchange(pending_, {});
        lock.unlock();
        for (const auto &[service, pending] : due) {
            writeNow(pending);
        }
        lock.lock();
    }
}

void RolloutWriter::writeNow(const Pending &pending)
{
    const RolloutRecord &record = pending.record;
    const Status written = store_.writeRollout(record, pending.expectedRevision);
    if (isOk(written)) {
        logEvent(LogEvent::RolloutStageWritten,
                 { { "service", record.service },
                   { "version", record.version },
                   { "stage", std::string(nameOf(record.stage)) },
                   { "share", fmt::format("{:.3f}", record.share) },
                   { "reason", record.reason } });
    } else {
        logEvent(LogEvent::RolloutNotWritten, { { "service", record.service }, { "message", errorOf(written).message } });
    }
}

} // namespace Portpaddle
