// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Fetches the operator's configuration from a daemon that has a newer one.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/store_following/state_exchange.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace Portpaddle {

/// Asks one daemon at a time on its own thread.
class ConfigurationCatchUp
{
public:
    /// Asks for the items whose keys begin with @p prefix; @p take is called with them on the thread.
    ConfigurationCatchUp(std::string prefix, std::function<void(PeerState)> take);
    ~ConfigurationCatchUp();

    void start();
    /// Has the daemon at the link address @p address asked soon, in place of one that is not asked yet. Thread-safe; does not
    /// block.
    void ask(const std::string &address);

private:
    void run();
    /// Waits until a daemon is to be asked; no value at the end.
    std::optional<std::string> next();
    /// Keeps requests of a peer that names versions which nobody has from asking without pause.
    void rest();

    std::string prefix_;
    std::function<void(PeerState)> take_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<std::string> wanted_;
    bool stopping_ = false;
    Thread thread_;
};

} // namespace Portpaddle
