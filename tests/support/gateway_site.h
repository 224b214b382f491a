// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A gateway on its own event loop, and a caller that writes raw HTTP.
#pragma once

#include "portpaddle/base/metrics.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/base/thread.h"
#include "portpaddle/callers/session_listener.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/store_following/fleet_registry.h"
#include "support/fallible_random.h"
#include "support/suspended_clock.h"

#include <boost/asio/executor_work_guard.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace Portpaddle {

/// An answer as the caller received it.
struct SeenAnswer
{
    int status = 0;
    std::string head;
    /// Body, with any chunked encoding removed.
    std::string body;
    /// The lines after the last chunk.
    std::string trailer;
    /// Whether the complete body arrived, up to its length or its last chunk.
    bool whole = false;
    /// Whether the connection ended after the answer.
    bool closed = false;
};

/// One connection of a caller.
class RawCaller
{
public:
    explicit RawCaller(const std::string &address);
    ~RawCaller();

    void send(const std::string &bytes);
    /// Reads one answer to a request with @p method, by the rules of HTTP; a hang becomes a failure after 20 s.
    SeenAnswer receive(const std::string &method = "POST");
    /// Returns all that comes until the peer closes the connection.
    std::string rest();
    /// Returns whether the peer closes the connection.
    bool closedByPeer();
    /// Returns whether the last read ended because nothing came for 20 s.
    bool hung() const;
    /// Returns whether the peer's machine has all that was sent, read or not.
    bool hasDelivered() const;
    void leave();

private:
    bool readMore();
    void receiveChunks(SeenAnswer &answer);
    /// Reads a body of @p length bytes.
    void receiveBytes(SeenAnswer &answer, std::size_t length);
    /// Reads a body that ends with the connection; one that is reset is not whole.
    void receiveUntilClose(SeenAnswer &answer);

    int socket_ = -1;
    bool wasReset_ = false;
    bool hung_ = false;
    std::string buffer_;
};

/// Headers of a prompt with a prefix cached in a remote daemon's region, long enough to prefer that; see addRemoteDaemon().
inline constexpr const char *keptElsewhere = "X-Token-Counts: 20000,10\r\nX-Prompt-Parts: a:19000,b:1000\r\n";

/// Route "/plain/" is retryable, "/once/" is not, "/stream/" is a stream, "/resume/" a resumable one; two attempts each except
/// for "/single/". All routes lead to service "s".
class GatewaySite
{
public:
    enum class Routes { Published, Unknown };

    /// Whether this daemon has been on the store's list for a long time, or never was.
    enum class Registration { Listed, Unlisted };

    explicit GatewaySite(Routes known = Routes::Published, Registration registration = Registration::Listed);
    ~GatewaySite();

    /// @p version is that of the upstream's software.
    void addUpstream(const std::string &id, const std::string &address, const std::string &version = {});
    void removeUpstream(const std::string &id);
    /// Publishes the versions at which streams of the service may begin in the gateway's region, the only one.
    void setVersionSet(const VersionSet &set);
    void loseStore();
    /// Adds an upstream that takes only few requests per second for a minute.
    void addColdUpstream(const std::string &id, const std::string &address);
    /// Adds a daemon of another region that reports an idle upstream, which caches the prompt of a request with @p headers.
    void addRemoteDaemon(const std::string &id, const std::string &region, const std::string &address,
                         const std::string &headers);
    /// Adds a daemon of the own region.
    void addDaemon(const std::string &id);
    /// Adds a daemon of the own region that other daemons reach at @p address, and that reports that it takes callers.
    void addDaemonBeside(const std::string &id, const std::string &address);
    void removeDaemon(const std::string &id);
    /// Announces that the upstream takes no more requests and ends shortly.
    void announceEnd(const std::string &id, const std::string &address);
    /// Options whose time bounds are raised so that no result depends on machine speed; call setOptions() after a change.
    GatewayOptions terms;
    void setOptions();
    /// The source of all random numbers of the gateway.
    FallibleRandom random{ 7 };
    /// Routes of the gateway; call publishRoutes() after a change.
    ServiceMap routes;
    void publishRoutes();
    /// Runs @p work on the gateway's loop and waits for it.
    void onLoop(std::function<void(Gateway &)> work);
    std::uint64_t count(Counter counter) const;
    /// Turns on or off that callers' idle connections are closed between any two steps of the loop.
    void closeIdleOnEveryTurn(bool on);
    /// Blocks the loop during @p meanwhile; then, as late in a stop, stops accepting callers and closes their idle connections.
    void closeToCallers(const std::function<void()> &meanwhile);
    std::string address() const;
    /// Returns the address for other daemons.
    std::string linkAddress() const;
    /// Sends one request and reads its answer.
    SeenAnswer ask(const std::string &path, const std::string &id, const std::string &moreHeaders = {},
                   const std::string &body = {});
    /// Sends the request as a daemon of another region does, and reads its answer.
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
    Metrics metrics_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<FleetRegistry> registry_;
    std::unique_ptr<SessionListener> listener_;
    std::unique_ptr<SessionListener> daemonListener_;
    std::unique_ptr<Suspension> listedFor_;
    Thread thread_;
};

} // namespace Portpaddle
