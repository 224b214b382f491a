// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A gateway on an event loop of its own, with a caller that speaks HTTP by hand.
#pragma once

#include "portpaddle/base/metrics.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/base/thread.h"
#include "portpaddle/gateway/fleet_registry.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/gateway/session_listener.h"
#include "support/suspended_clock.h"

#include <boost/asio/executor_work_guard.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace Portpaddle {

/// An answer as the caller saw it.
struct SeenAnswer
{
    int status = 0;
    std::string head;
    /// Decoded from chunks where it was chunked.
    std::string body;
    /// The lines after the last chunk.
    std::string trailer;
    /// All of it came: the length was met, or the last chunk was there.
    bool whole = false;
    /// The connection ended after it.
    bool closed = false;
};

/// One connection of a caller.
class RawCaller
{
public:
    explicit RawCaller(const std::string &address);
    ~RawCaller();

    void send(const std::string &bytes);
    /// Reads one answer; hangs are turned into a failure after 20 s.
    SeenAnswer receive();
    /// True if the peer closes the connection.
    bool closedByPeer();
    void leave();

private:
    bool readMore();

    int socket_ = -1;
    std::string buffer_;
};

/// Headers of a prompt of which so much lies in the region of a remote daemon that it is asked first; see addRemoteDaemon().
inline constexpr const char *keptElsewhere = "X-Token-Counts: 20000,10\r\nX-Prompt-Parts: a:19000,b:1000\r\n";

/// Route "/plain/" repeats, "/once/" does not, "/stream/" is a stream, "/resume/" one that may be continued; two attempts each
/// but for "/single/". All lead to service "s".
class GatewaySite
{
public:
    enum class Routes { Published, Unknown };

    /// Whether this daemon has been on the store's list for long, or never was.
    enum class Registration { Listed, Unlisted };

    explicit GatewaySite(Routes known = Routes::Published, Registration registration = Registration::Listed);
    ~GatewaySite();

    void addUpstream(const std::string &id, const std::string &address);
    void removeUpstream(const std::string &id);
    /// One that bears few requests a second for a minute.
    void addColdUpstream(const std::string &id, const std::string &address);
    /// A daemon of another region that tells of an idle upstream there, which keeps the prompt of a request with @p headers.
    void addRemoteDaemon(const std::string &id, const std::string &region, const std::string &address,
                         const std::string &headers);
    /// One of the own region.
    void addDaemon(const std::string &id);
    void removeDaemon(const std::string &id);
    /// The upstream takes no more requests and is gone in a moment.
    void announceEnd(const std::string &id, const std::string &address);
    /// Bounds without which verdicts would hang on the speed of the machine are out of the way; call setOptions() after a change.
    GatewayOptions terms;
    void setOptions();
    /// Changes the routes before they are published; call publishRoutes() after.
    ServiceMap routes;
    void publishRoutes();
    /// Runs @p work on the gateway's loop and waits for it.
    void onLoop(std::function<void(Gateway &)> work);
    /// From now on closes the callers' idle connections between any two steps of the loop.
    void closeIdleOnEveryTurn(bool on);
    std::string address() const;
    /// Where other daemons reach it.
    std::string linkAddress() const;
    /// Sends one request and reads its answer.
    SeenAnswer ask(const std::string &path, const std::string &id, const std::string &moreHeaders = {},
                   const std::string &body = {});
    /// The same as a daemon of another region does.
    SeenAnswer askAsDaemon(const std::string &path, const std::string &id, const std::string &moreHeaders = {},
                           const std::string &body = {});
    static std::string request(const std::string &path, const std::string &id, const std::string &moreHeaders = {},
                               const std::string &body = {});

private:
    void closeIdleAgain();

    std::atomic<bool> closingIdle_{ false };
    boost::asio::io_context loop_{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{ loop_.get_executor() };
    RcuCell<FleetView> view_;
    SeededRandom random_{ 7 };
    Metrics metrics_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<FleetRegistry> registry_;
    std::unique_ptr<SessionListener> listener_;
    std::unique_ptr<SessionListener> daemonListener_;
    std::unique_ptr<Suspension> listedFor_;
    Thread thread_;
};

} // namespace Portpaddle
