// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A small stand-in for a plain service: echoes calls and counts how often each ran.
#pragma once

#include "portpaddle/base/http_server.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace Portpaddle {

/// What happens to the next calls.
enum class PlainFault {
    None,
    /// The call runs, its answer is cut.
    CutAnswer,
    /// The call runs and its answer is larger than a gateway passes on whole.
    HugeAnswer,
    /// The call runs when released.
    Hold,
};

/// Counts runs by repeat key, or by method and path where there is none.
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
