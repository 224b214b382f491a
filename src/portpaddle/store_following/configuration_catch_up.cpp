// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/store_following/configuration_catch_up.h"

#include "portpaddle/base/log.h"

#include <utility>

namespace Portpaddle {

namespace {

// A request waits for half a second, in which a second daemon can be asked.
constexpr Millis restTime{ 100 };

} // namespace

ConfigurationCatchUp::ConfigurationCatchUp(std::string prefix, std::function<void(PeerState)> take)
    : prefix_(std::move(prefix)), take_(std::move(take))
{
}

ConfigurationCatchUp::~ConfigurationCatchUp()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void ConfigurationCatchUp::start()
{
    thread_ = Thread("catch_up", [this] { run(); });
}

void ConfigurationCatchUp::ask(const std::string &address)
{
    {
        const std::lock_guard lock(mutex_);
        wanted_ = address;
    }
    changed_.notify_all();
}

void ConfigurationCatchUp::run()
{
    while (const std::optional<std::string> address = next()) {
        Result<PeerState> peer = fetchItems(*address, prefix_);
        if (isOk(peer)) {
            take_(std::move(valueOf(peer)));
        } else {
            logEvent(LogEvent::CatchUpFailed, { { "source", *address }, { "message", errorOf(peer).message } });
        }
        rest();
    }
}

std::optional<std::string> ConfigurationCatchUp::next()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || wanted_; });
    return stopping_ ? std::nullopt : std::exchange(wanted_, std::nullopt);
}

void ConfigurationCatchUp::rest()
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, restTime, [this] { return stopping_; });
    wanted_.reset();
}

} // namespace Portpaddle
