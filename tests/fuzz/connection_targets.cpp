// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Whole readers: a gateway between callers and upstreams, and the clients of the store and of neighbours.

#include "fuzz/fuzz_target.h"

#include "platform/store_client.h"
#include "portpaddle/store_following/state_exchange.h"
#include "support/gateway_site.h"
#include "support/scripted_upstream.h"

#include <array>
#include <mutex>
#include <stdexcept>

namespace Portpaddle {

namespace {

// Readers that need a connection for each input take some hundred times as long as a decoder.
constexpr std::size_t connectionsOneIn = 100;
// Upstreams that fail in a row are avoided, so that a site serves only some inputs.
constexpr std::size_t inputsOfSite = 20;

/// A peer that sends the bytes of the input and closes the connection.
class DamagedPeer
{
public:
    void set(const std::string &bytes)
    {
        const std::lock_guard lock(mutex_);
        bytes_ = bytes;
    }
    std::string address() const
    {
        return upstream_.address();
    }

private:
    ScriptedAnswer answer()
    {
        const std::lock_guard lock(mutex_);
        return { bytes_, ScriptedAnswer::Then::Close };
    }

    std::mutex mutex_;
    std::string bytes_;
    ScriptedUpstream upstream_{ [this](const SeenRequest &) { return answer(); } };
};

class ConnectionTarget : public FuzzTarget
{
public:
    ConnectionTarget(std::string name, std::vector<std::string> corpus) : name_(std::move(name)), corpus_(std::move(corpus))
    {
    }
    std::string name() const override
    {
        return name_;
    }
    const std::vector<std::string> &corpus() const override
    {
        return corpus_;
    }
    std::size_t oneIn() const override
    {
        return connectionsOneIn;
    }

private:
    std::string name_;
    std::vector<std::string> corpus_;
};

/// A gateway with one upstream, which is replaced after some inputs.
struct DamagedSite
{
    DamagedSite()
    {
        site.addUpstream("u1", sound.address());
    }

    /// Throws if a sound request gets no sound answer.
    void requireAlive()
    {
        if (site.ask("/plain/alive", "alive", {}, "body").body != "body") {
            throw std::logic_error("the gateway does not serve a sound request");
        }
    }

    ScriptedUpstream sound{ echo };
    GatewaySite site;
};

/// Damaged answers of an upstream, to each kind of route.
class UpstreamAnswerTarget : public ConnectionTarget
{
public:
    UpstreamAnswerTarget()
        : ConnectionTarget("upstream_answer",
                           { std::string("HTTP/1.1 200 OK\r\n") + ownId + "X-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
                             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n" + std::string(ownId) + "X-Signature: s\r\n\r\n",
                             std::string("HTTP/1.1 200 OK\r\n") + ownId
                                 + "X-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 + eventChunk(1, 3) + lastChunk,
                             notRunAnswer })
    {
    }
    void read(const std::string &bytes) override
    {
        if (used_++ % inputsOfSite == 0) {
            damaged_ = std::make_unique<GatewaySite>();
            damaged_->addUpstream("u1", peer_.address());
        }
        constexpr std::array<const char *, 4> paths{ "/plain/a", "/once/a", "/stream/a", "/resume/a" };
        peer_.set(bytes);
        RawCaller caller(damaged_->address());
        caller.send(GatewaySite::request(paths.at(used_ % paths.size()), "id1"));
        const SeenAnswer answer = caller.receive();
        if (caller.hung()) {
            throw std::logic_error("the caller gets no end of an answer");
        }
        const bool ownHead = answer.head.empty() || answer.head.starts_with("HTTP/1.1 ");
        const bool headEnded = bytes.find("\r\n\r\n") != std::string::npos;
        if (!ownHead || (answer.whole && answer.status == 200 && !headEnded)) {
            throw std::logic_error("the caller gets what is no answer");
        }
    }

private:
    std::size_t used_ = 0;
    DamagedPeer peer_;
    std::unique_ptr<GatewaySite> damaged_;
};

/// Damaged requests of a caller, or of another daemon.
class CallerTarget : public ConnectionTarget
{
public:
    explicit CallerTarget(SessionPeer peer)
        : ConnectionTarget(
            peer == SessionPeer::Daemon ? "daemon_request" : "caller_request",
            { GatewaySite::request("/plain/a", "id1", "X-Portpaddle-Age-Ms: 20\r\nX-Portpaddle-Ran-At: 1f\r\n", "body"),
              "POST /once/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: id2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
              GatewaySite::request("/resume/a", "id3", "Last-Event-ID: 2\r\nX-Portpaddle-Events: 2\r\n") })
        , peer_(peer)
    {
    }
    void read(const std::string &bytes) override
    {
        if (used_++ % inputsOfSite == 0) {
            damaged_ = std::make_unique<DamagedSite>();
        }
        {
            RawCaller caller(peer_ == SessionPeer::Daemon ? damaged_->site.linkAddress() : damaged_->site.address());
            caller.send(bytes);
        }
        damaged_->requireAlive();
    }

private:
    SessionPeer peer_;
    std::size_t used_ = 0;
    std::unique_ptr<DamagedSite> damaged_;
};

std::string jsonAnswer(const std::string &json)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(json.size()) + "\r\n\r\n"
        + json;
}

/// Damaged answers of the store and of neighbours.
class StoreTarget : public ConnectionTarget
{
public:
    StoreTarget()
        : ConnectionTarget(
            "store_answer",
            { jsonAnswer(R"({"items":[{"privateKey":"p/a","value":"MQ==","revision":3}],"morePages":false,"storeRevision":10})"),
              jsonAnswer(R"({"items":[{"privateKey":"p/b","value":"Mg==","revision":4}],"morePages":true,"storeRevision":11})"),
              jsonAnswer(R"({"storeRevision":12,"events":[{"privateKey":"p/a","value":"MQ==","revision":3,"deleted":true}]})"),
              jsonAnswer(R"({"lease":7,"ttlMs":9000,"storeRevision":4})"),
              "HTTP/1.1 429 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n" })
    {
    }
    void read(const std::string &bytes) override
    {
        peer_.set(bytes);
        const std::string address = peer_.address();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        StoreClient client(SocketAddress{ "127.0.0.1", port });
        switch (used_++ % 5) {
        case 0:
            (void)client.newestRevision(ReadFreshness::Newest);
            break;
        case 1:
            (void)client.listAll("p/", ReadFreshness::Newest);
            break;
        case 2:
            (void)client.follow("p/", 3, Millis(100));
            break;
        case 3:
            (void)client.grantLease(Millis(9'000));
            break;
        default:
            (void)fetchItems(address, "p/");
            break;
        }
    }

private:
    std::size_t used_ = 0;
    DamagedPeer peer_;
};

} // namespace

FuzzTargets connectionTargets()
{
    FuzzTargets targets;
    targets.push_back(std::make_unique<UpstreamAnswerTarget>());
    targets.push_back(std::make_unique<CallerTarget>(SessionPeer::Caller));
    targets.push_back(std::make_unique<CallerTarget>(SessionPeer::Daemon));
    targets.push_back(std::make_unique<StoreTarget>());
    return targets;
}

} // namespace Portpaddle
