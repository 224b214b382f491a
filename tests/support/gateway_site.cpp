// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "support/gateway_site.h"

#include "portpaddle/net/endpoint.h"
#include "portpaddle/net/spawn.h"

#include <boost/asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <future>
#include <stdexcept>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Portpaddle {

namespace {

// A daemon that was listed for this time has its full part of the retry budget.
constexpr std::chrono::seconds listedForLong{ 20 };

constexpr timeval hangBound{ 20, 0 };

std::string headerOf(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

Route makeRoute(const std::string &prefix, RouteKind kind, bool resumable)
{
    Route route;
    route.name = "r" + prefix;
    route.host = "h";
    route.pathPrefix = prefix;
    route.kind = kind;
    route.resumable = resumable;
    route.timeout = Millis(5'000);
    route.targetLatency = Millis(1'000);
    route.attempts = 2;
    route.services = { { "s", 1 } };
    return route;
}

UpstreamRecord makeUpstream(const std::string &id, const std::string &address)
{
    UpstreamRecord record;
    record.id = id;
    record.registeredName = id;
    record.service = "s";
    record.address = address;
    record.dataCentre = "north-1";
    record.region = "north";
    record.slots = 4;
    return record;
}

} // namespace

RawCaller::RawCaller(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    socket_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(endpoint->port());
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &hangBound, sizeof hangBound);
    if (connect(socket_, reinterpret_cast<sockaddr *>(&peer), sizeof peer) != 0) {
        throw std::runtime_error("the gateway does not accept");
    }
}

RawCaller::~RawCaller()
{
    leave();
}

void RawCaller::leave()
{
    if (socket_ >= 0) {
        close(socket_);
        socket_ = -1;
    }
}

void RawCaller::send(const std::string &bytes)
{
    (void)::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

bool RawCaller::readMore()
{
    char bytes[4096];
    const ssize_t got = recv(socket_, bytes, sizeof bytes, 0);
    wasReset_ = got < 0;
    hung_ = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (got <= 0) {
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(got));
    return true;
}

bool RawCaller::hung() const
{
    return hung_;
}

bool RawCaller::hasDelivered() const
{
    int unacknowledged = 0;
    return ioctl(socket_, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

std::string RawCaller::rest()
{
    while (readMore()) { }
    return buffer_;
}

bool RawCaller::closedByPeer()
{
    while (readMore()) { }
    return true;
}

SeenAnswer RawCaller::receive(const std::string &method)
{
    SeenAnswer answer;
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            answer.closed = true;
            return answer;
        }
    }
    answer.head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    answer.status = std::stoi(answer.head.substr(9, 3));
    const std::string length = headerOf(answer.head, "Content-Length");
    if (method == "HEAD" || answer.status < 200 || answer.status == 204 || answer.status == 304) {
        answer.whole = true;
    } else if (headerOf(answer.head, "Transfer-Encoding") == "chunked") {
        receiveChunks(answer);
    } else if (!length.empty()) {
        receiveBytes(answer, std::stoul(length));
    } else {
        receiveUntilClose(answer);
    }
    return answer;
}

void RawCaller::receiveBytes(SeenAnswer &answer, std::size_t length)
{
    while (buffer_.size() < length && !answer.closed) {
        answer.closed = !readMore();
    }
    answer.whole = buffer_.size() >= length;
    answer.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
}

void RawCaller::receiveUntilClose(SeenAnswer &answer)
{
    answer.body = rest();
    buffer_.clear();
    answer.closed = true;
    answer.whole = !wasReset_;
}

void RawCaller::receiveChunks(SeenAnswer &answer)
{
    while (true) {
        const std::size_t line = buffer_.find("\r\n");
        const std::size_t size = line == std::string::npos ? 0 : std::stoul(buffer_.substr(0, line), nullptr, 16);
        const std::size_t last = line != std::string::npos && size == 0 ? buffer_.find("\r\n\r\n") : std::string::npos;
        if (last != std::string::npos) {
            answer.trailer = buffer_.substr(line + 2, last - line);
            buffer_.erase(0, last + 4);
            answer.whole = true;
            return;
        }
        if (size > 0 && line != std::string::npos && buffer_.size() >= line + 2 + size + 2) {
            answer.body += buffer_.substr(line + 2, size);
            buffer_.erase(0, line + 2 + size + 2);
        } else if (!readMore()) {
            answer.closed = true;
            return;
        }
    }
}

GatewaySite::GatewaySite(Routes known, Registration registration)
{
    gateway_ = std::make_unique<Gateway>(loop_.get_executor(), GatewayIdentity{ "d", "north", "north-1" }, HeaderNames{}, view_,
                                         random, metrics_);
    terms.retryRatio = 1;
    terms.extraRetriesPerWindow = 100;
    terms.moveLead = std::chrono::hours(1);
    terms.listSettling = std::chrono::milliseconds(0);
    terms.regions = { "north" };
    terms.stallBound = std::chrono::hours(1);
    gateway_->setOptions(terms);
    gateway_->setVersionSetReader([this](const VersionSetReader::Receive &receive) { receive(view_.read()->versionSets); });
    registry_ = std::make_unique<FleetRegistry>(view_, [this] { boost::asio::post(loop_, [this] { gateway_->viewChanged(); }); });
    listener_ = std::make_unique<SessionListener>(loop_.get_executor(), SessionPeer::Caller, *gateway_, 64);
    daemonListener_ = std::make_unique<SessionListener>(loop_.get_executor(), SessionPeer::Daemon, *gateway_, 64);
    if (!isOk(listener_->listen("127.0.0.1:0")) || !isOk(daemonListener_->listen("127.0.0.1:0"))) {
        throw std::runtime_error("the gateway cannot listen");
    }
    routes.version = 1;
    routes.routes = { makeRoute("/plain/", RouteKind::Idempotent, false), makeRoute("/once/", RouteKind::NonIdempotent, false),
                      makeRoute("/stream/", RouteKind::Stream, false), makeRoute("/resume/", RouteKind::Stream, true),
                      makeRoute("/single/", RouteKind::NonIdempotent, false) };
    routes.routes.back().attempts = 1;
    ServiceSpec spec;
    spec.name = "s";
    spec.connectionLimit = 100;
    routes.services["s"] = spec;
    thread_ = Thread("gateway", [this] { runLoop(loop_); });
    registry_->onStoreAvailable(BootClock::now());
    DaemonRecord own;
    own.id = "d";
    own.region = "north";
    own.dataCentre = "north-1";
    if (registration == Registration::Listed) {
        registry_->changeDaemon(own);
        onLoop([](Gateway &) {});
        listedFor_ = std::make_unique<Suspension>(listedForLong);
        onLoop([](Gateway &gateway) { gateway.tick(); });
    }
    if (known == Routes::Published) {
        publishRoutes();
    }
}

GatewaySite::~GatewaySite()
{
    boost::asio::post(loop_, [this] {
        for (SessionListener *listener : { listener_.get(), daemonListener_.get() }) {
            listener->stopAccepting();
            listener->closeAll();
        }
    });
    work_.reset();
    loop_.stop();
    thread_.join();
}

void GatewaySite::setOptions()
{
    onLoop([this](Gateway &gateway) { gateway.setOptions(terms); });
}

void GatewaySite::publishRoutes()
{
    auto map = std::make_shared<ServiceMap>(routes);
    map->index();
    registry_->takeConfiguration(map);
    ++routes.version;
    onLoop([](Gateway &) {});
}

void GatewaySite::addUpstream(const std::string &id, const std::string &address, const std::string &version)
{
    UpstreamRecord record = makeUpstream(id, address);
    record.version = version;
    registry_->changeUpstream(record);
    onLoop([](Gateway &) {});
}

void GatewaySite::setVersionSet(const VersionSet &set)
{
    registry_->changeVersionSet({ "s", "north" }, set);
    onLoop([](Gateway &gateway) { gateway.tick(); });
}

void GatewaySite::loseStore()
{
    registry_->onStoreUnavailable(BootClock::now());
    onLoop([](Gateway &) {});
}

void GatewaySite::removeUpstream(const std::string &id)
{
    registry_->removeUpstream(id, BootClock::now());
    onLoop([](Gateway &) {});
}

void GatewaySite::addColdUpstream(const std::string &id, const std::string &address)
{
    UpstreamRecord record = makeUpstream(id, address);
    record.coldUntil = BootClock::now() + std::chrono::minutes(1);
    registry_->changeUpstream(record);
    onLoop([](Gateway &) {});
}

void GatewaySite::addRemoteDaemon(const std::string &id, const std::string &region, const std::string &address,
                                  const std::string &headers)
{
    boost::beast::http::request_parser<ReceivedBody> parser;
    NetError error;
    parser.eager(true);
    parser.put(boost::asio::buffer(request("/", id, headers)), error);
    const CallerRequest prompted = decodeRequest(parser.release(), HeaderNames{}, SteadyTime{});
    DaemonRecord record;
    record.id = id;
    record.region = region;
    record.linkAddress = address;
    registry_->changeDaemon(record);
    onLoop([&id, &region, &prompted](Gateway &gateway) {
        Wire::LoadDigestT digest;
        digest.daemon = id;
        digest.region = region;
        digest.sequence = 1;
        digest.phase = Wire::DaemonPhase::Serving;
        digest.services.emplace_back(serviceKey("s"), 0, 0, 0, 1, 100.0F, 0.0F, 4.0F);
        for (const PromptPart &part : prompted.prompt.parts) {
            digest.placed.emplace_back(part.chainHash, 1, part.tokens);
        }
        gateway.applyDigest(digest);
    });
}

void GatewaySite::addDaemon(const std::string &id)
{
    DaemonRecord record;
    record.id = id;
    record.region = "north";
    record.dataCentre = "north-1";
    registry_->changeDaemon(record);
    onLoop([](Gateway &) {});
}

void GatewaySite::addDaemonBeside(const std::string &id, const std::string &address)
{
    DaemonRecord record;
    record.id = id;
    record.region = "north";
    record.dataCentre = "north-1";
    record.linkAddress = address;
    registry_->changeDaemon(record);
    onLoop([&id](Gateway &gateway) {
        Wire::LoadDigestT digest;
        digest.daemon = id;
        digest.region = "north";
        digest.sequence = 1;
        digest.phase = Wire::DaemonPhase::Serving;
        gateway.applyDigest(digest);
    });
}

void GatewaySite::removeDaemon(const std::string &id)
{
    registry_->removeDaemon(id, BootClock::now());
    onLoop([](Gateway &) {});
}

void GatewaySite::announceEnd(const std::string &id, const std::string &address)
{
    UpstreamRecord record = makeUpstream(id, address);
    record.leaving = true;
    record.goneAt = BootClock::now() + Millis(200);
    registry_->changeUpstream(record);
    onLoop([](Gateway &) {});
}

void GatewaySite::onLoop(std::function<void(Gateway &)> work)
{
    std::promise<void> done;
    boost::asio::post(loop_, [&] {
        work(*gateway_);
        done.set_value();
    });
    done.get_future().wait();
}

void GatewaySite::closeIdleOnEveryTurn(bool on)
{
    closingIdle_ = on;
    if (on) {
        boost::asio::post(loop_, [this] { closeIdleAgain(); });
    }
}

void GatewaySite::closeIdleAgain()
{
    listener_->closeIdle();
    if (closingIdle_) {
        boost::asio::post(loop_, [this] { closeIdleAgain(); });
    }
}

void GatewaySite::closeToCallers(const std::function<void()> &meanwhile)
{
    onLoop([&](Gateway &gateway) {
        meanwhile();
        gateway.beginDrain({ SteadyTime::max(), SteadyTime::max() });
        listener_->stopAccepting();
        listener_->closeIdle();
    });
}

std::uint64_t GatewaySite::count(Counter counter) const
{
    return metrics_.value(counter);
}

std::string GatewaySite::address() const
{
    return listener_->address();
}

std::string GatewaySite::linkAddress() const
{
    return daemonListener_->address();
}

std::string GatewaySite::request(const std::string &path, const std::string &id, const std::string &moreHeaders,
                                 const std::string &body)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}", path, id, moreHeaders,
                       body.size(), body);
}

SeenAnswer GatewaySite::ask(const std::string &path, const std::string &id, const std::string &moreHeaders,
                            const std::string &body)
{
    RawCaller caller(address());
    caller.send(request(path, id, moreHeaders, body));
    return caller.receive();
}

SeenAnswer GatewaySite::askAsDaemon(const std::string &path, const std::string &id, const std::string &moreHeaders,
                                    const std::string &body)
{
    RawCaller caller(linkAddress());
    caller.send(request(path, id, moreHeaders, body));
    return caller.receive();
}

} // namespace Portpaddle
