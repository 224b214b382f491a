// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A stand-in for a plain service that echoes calls and counts how often each of them ran.
#pragma once

#include "portpaddle/base/http_server.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace Portpaddle {

/// A fault that applies to the next calls.
enum class PlainFault {
    None,
    /// The call runs, and the connection breaks before the end of its answer.
    CutAnswer,
    /// The call runs, and its answer exceeds the size up to which a gateway passes on a whole answer.
    HugeAnswer,
    /// The call counts as run, and its answer waits until another fault is set.
    Hold,
};

/// Counts runs by idempotency key, or by method and path for a call without a key.
class PlainStandIn
{
public:
    PlainStandIn();
    ~PlainStandIn();
    Result<SocketAddress> start(const SocketAddress &address = {});
    void stop();

    void setFault(PlainFault fault);
    void setLeaving(bool leaving);
    unsigned runs(const std::string &key) const;
    unsigned allRuns() const;
    /// Waits until at least @p count calls have run.
    void awaitRuns(unsigned count);

private:
    void serve(const httplib::Request &request, httplib::Response &response);

    HttpServer server_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, unsigned> runs_;
    unsigned allRuns_ = 0;
    PlainFault fault_ = PlainFault::None;
    bool leaving_ = false;
    bool stopping_ = false;
};

} // namespace Portpaddle
