// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/entry/entry_server.h"

#include "portpaddle/base/metrics.h"
#include "portpaddle/base/text.h"
#include "portpaddle/dispatch/answer_channel.h"
#include "portpaddle/dispatch/dispatcher.h"
#include "portpaddle/entry/authenticator.h"
#include "portpaddle/entry/caller_answers.h"
#include "portpaddle/entry/chat_request.h"
#include "portpaddle/entry/entry_list.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/random_source.h"
#include "portpaddle/upstream/http_upstream_client.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;
constexpr Millis maxBodyTime{ 30'000 };
/// Interval at which a silent stream is checked for a disconnected caller.
constexpr Millis callerCheckInterval{ 100 };
constexpr std::string_view chatPath = "/v1/chat/completions";
/// Names the model outside the body, so that residency can be checked before the body is read.
constexpr const char *serviceHeader = "X-Service";

bool isForwardedHeader(const std::string &name)
{
    static constexpr std::array<std::string_view, 9> dropped{ "authorization",  "x-request-id", "x-resume-from-token",
                                                              "x-organisation", "x-priority",   "idempotency-key",
                                                              "remote_addr",    "remote_port",  "expect" };
    const std::string lower = lowerCase(name);
    const bool local = lower == "local_addr" || lower == "local_port" || lower == "x-service";
    return !local && !isHopByHopHeader(lower) && std::find(dropped.begin(), dropped.end(), lower) == dropped.end();
}

Error notRun(ErrorCode code, std::string message)
{
    return Error{ code, std::move(message), RunState::NotRun, std::nullopt };
}

/// Returns the scope of the limits that apply. They are set for the organisation or for one of its services; each scope has its
/// own counters.
std::string limitScope(const RequestPolicy &policy, const std::string &organisation, const std::string &service)
{
    const std::string servicePath = "/organisations/" + organisation + "/services/" + service;
    for (const char *key : { "max_requests_per_second", "max_tokens_per_second", "max_concurrent" }) {
        const SettingOrigin *origin = policy.originOf(key);
        if (origin != nullptr && origin->path == servicePath) {
            return organisation + '/' + service;
        }
    }
    return organisation;
}

} // namespace

/// Handles one request of a caller.
class EntryServer::Handler
{
public:
    Handler(EntryServer &server, const httplib::Request &request, httplib::Response &response)
        : server_(server)
        , parts_(server.parts_)
        , request_(request)
        , response_(response)
        , settings_(server.parts_.board.settings.read())
        , arrivedAt_(server.parts_.clock.monotonic())
        , activity_(std::make_shared<ActivityGuard>(server.activity_))
    {
        requestId_ = fmt::format("{}-{:016x}", parts_.daemon, parts_.random.next());
        response_.set_header("X-Request-Id", requestId_);
    }

    void chat(const httplib::ContentReader *reader)
    {
        if (!begin() || !checkResidencyBeforeBody() || !readBody(reader)) {
            return;
        }
        const Result<ChatRequest> parsed = parseChatRequest(body_);
        if (!isOk(parsed)) {
            return fail(errorOf(parsed));
        }
        const ChatRequest &chat = valueOf(parsed);
        const ServiceSettings *service = settings_->service(chat.model);
        if (service == nullptr || service->kind != ServiceKind::Model) {
            return fail(notRun(ErrorCode::UnknownService, fmt::format("model '{}' does not exist", chat.model.substr(0, 64))));
        }
        if (request_.has_header(serviceHeader) && request_.get_header_value(serviceHeader) != chat.model) {
            return fail(notRun(ErrorCode::BadRequest, "the X-Service header and the model differ"));
        }
        Call call = newCall(service->name);
        call.path = std::string(chatPath);
        call.streamed = chat.streamed;
        call.retryable = true;
        call.facts.promptTokens = chat.promptTokens;
        call.facts.expectedTokens = chat.expectedTokens;
        call.facts.prefixHash = chat.prefixHash;
        serve(std::move(call));
    }

    void plain(const httplib::ContentReader *reader)
    {
        if (!begin()) {
            return;
        }
        const ServiceSettings *service = settings_->serviceForPath(request_.path);
        if (service == nullptr) {
            return fail(notRun(ErrorCode::UnknownPath, "no service is configured for this path"));
        }
        if (!policyFor(service->name).allowsRegion(settings_->place().region)) {
            return fail(
                notRun(ErrorCode::ResidencyForbids, "this request must not be served from this region; ask for entry VMs"));
        }
        if (!readBody(reader)) {
            return;
        }
        Call call = newCall(service->name);
        call.path = request_.target;
        call.retryable = service->isRetryable(request_.method);
        call.atMostOnce = service->isAtMostOnce(request_.method, request_.path);
        call.idempotencyKey = request_.get_header_value("Idempotency-Key");
        // An upstream that rejects duplicates by the idempotency key itself needs no claim: the key is forwarded to it.
        call.claimed = service->checksIdempotencyKey;
        if (call.idempotencyKey.size() > maxIdempotencyKeyLength) {
            return fail(notRun(ErrorCode::BadRequest, "the Idempotency-Key is too long"));
        }
        serve(std::move(call));
    }

    void models()
    {
        if (!begin()) {
            return;
        }
        nlohmann::json list = nlohmann::json::array();
        for (const ServiceSettings &service : settings_->services()) {
            if (service.kind == ServiceKind::Model) {
                list.push_back({ { "id", service.name }, { "object", "model" }, { "created", 0 }, { "owned_by", "portpaddle" } });
            }
        }
        response_.set_content(nlohmann::json{ { "object", "list" }, { "data", list } }.dump(), "application/json");
    }

    void entries()
    {
        if (!authenticate()) {
            return;
        }
        const std::string service = request_.get_param_value("service");
        response_.set_content(listEntries(parts_.board, organisation_, service).dump(), "application/json");
    }

private:
    static constexpr std::size_t maxIdempotencyKeyLength = 256;

    bool begin()
    {
        parts_.metrics.count(Counter::Requests);
        if (parts_.board.draining) {
            response_.set_header("Connection", "close");
            fail(Error{ ErrorCode::Stopping, "this VM is stopping; ask for other entry VMs", RunState::NotRun, Millis{ 1000 } });
            return false;
        }
        return authenticate();
    }

    bool authenticate()
    {
        Result<std::string> organisation = parts_.authenticator.organisationOf(request_.get_header_value("Authorization"));
        if (!isOk(organisation)) {
            fail(errorOf(organisation));
            return false;
        }
        organisation_ = std::move(valueOf(organisation));
        return true;
    }

    const RequestPolicy &policyFor(const std::string &service) const
    {
        return settings_->policy(organisation_, service);
    }

    /// Checks residency before the body is read. The body must not be read in a region where residency forbids it, but a chat
    /// request names its model in the body: without the header all models must be allowed here.
    bool checkResidencyBeforeBody()
    {
        const std::string named = request_.get_header_value(serviceHeader);
        const std::string &region = settings_->place().region;
        for (const ServiceSettings &service : settings_->services()) {
            const bool isCandidate = service.kind == ServiceKind::Model && (named.empty() || named == service.name);
            if (isCandidate && !policyFor(service.name).allowsRegion(region)) {
                fail(notRun(
                    ErrorCode::ResidencyForbids,
                    "a model of this organisation must not be served from this region; ask for entry VMs, or name the model "
                    "in an X-Service header"));
                return false;
            }
        }
        return true;
    }

    bool readBody(const httplib::ContentReader *reader)
    {
        if (reader == nullptr) {
            body_ = request_.body;
            return true;
        }
        const Millis begin = parts_.clock.monotonic();
        bool tooSlow = false;
        bool tooLarge = false;
        const bool whole = (*reader)([&](const char *bytes, std::size_t size) {
            tooSlow = parts_.clock.monotonic() - begin > maxBodyTime;
            tooLarge = body_.size() + size > maxBodyBytes;
            if (tooSlow || tooLarge) {
                return false;
            }
            body_.append(bytes, size);
            return true;
        });
        if (whole) {
            return true;
        }
        response_.set_header("Connection", "close");
        const bool large = tooLarge || response_.status == httpStatusOf(ErrorCode::BodyTooLarge);
        fail(large ? notRun(ErrorCode::BodyTooLarge, fmt::format("the body exceeds {} bytes", maxBodyBytes))
                   : notRun(ErrorCode::BadRequest, tooSlow ? "the body was received too slowly" : "the body is incomplete"));
        return false;
    }

    Call newCall(const std::string &service)
    {
        Call call;
        call.method = request_.method;
        call.body = std::move(body_);
        call.facts.requestId = requestId_;
        call.facts.organisation = organisation_;
        call.facts.service = service;
        call.facts.arrivedAt = arrivedAt_;
        call.facts.deadline = arrivedAt_ + policyFor(service).deadline;
        for (const auto &[name, value] : request_.headers) {
            if (isForwardedHeader(name)) {
                call.headers.push_back(HeaderField{ name, value });
            }
        }
        call.headers.push_back(HeaderField{ "X-Organisation", organisation_ });
        call.headers.push_back(HeaderField{ "X-Priority", std::string(nameOf(policyFor(service).requestClass)) });
        return call;
    }

    void serve(Call call)
    {
        const RequestPolicy &policy = policyFor(call.facts.service);
        const double tokens = call.facts.promptTokens + (call.facts.promptTokens > 0 ? call.facts.expectedTokens : 0);
        const std::string scope = limitScope(policy, organisation_, call.facts.service);
        Result<Permit> permit = parts_.board.limiter.admit(scope, policy, tokens, arrivedAt_);
        if (!isOk(permit)) {
            parts_.metrics.count(Counter::Refusals);
            return fail(errorOf(permit));
        }
        if (call.streamed) {
            serveStream(std::move(call), std::move(valueOf(permit)));
        } else {
            serveBuffered(std::move(call));
        }
    }

    void serveBuffered(Call call)
    {
        BufferedAnswer answer;
        const Status status = parts_.dispatcher.run(std::move(call), answer);
        if (answer.tooLarge()) {
            return fail(Error{ ErrorCode::UpstreamFailed, "the answer exceeds the size limit of an answer that is not streamed",
                               RunState::MayHaveRun, std::nullopt });
        }
        if (!isOk(status)) {
            return fail(errorOf(status));
        }
        answer.writeTo(response_);
    }

    void serveStream(Call call, Permit permit)
    {
        auto channel = std::make_shared<AnswerChannel>();
        auto sharedPermit = std::make_shared<Permit>(std::move(permit));
        Dispatcher &dispatcher = parts_.dispatcher;
        const bool accepted
            = server_.streams_.submit([&dispatcher, channel, sharedPermit, activity = activity_, call = std::move(call)] {
                  channel->finish(dispatcher.run(call, *channel));
              });
        if (!accepted) {
            return fail(Error{ ErrorCode::Overloaded, "this VM has reached its limit of concurrent streams", RunState::NotRun,
                               Millis{ 1000 } });
        }
        const Result<AnswerHead> head = channel->awaitHead();
        if (!isOk(head)) {
            return fail(errorOf(head));
        }
        forwardStream(valueOf(head), channel);
    }

    void forwardStream(const AnswerHead &head, const std::shared_ptr<AnswerChannel> &channel)
    {
        response_.status = head.status;
        const std::string type = writeHeaders(head, response_);
        // The provider holds the activity guard, so that a graceful stop waits until the last byte is sent, not just produced.
        response_.set_chunked_content_provider(
            type, [channel, activity = activity_](std::size_t, httplib::DataSink &sink) { return forwardChunk(*channel, sink); },
            [channel](bool) { channel->abandon(); });
    }

    static bool forwardChunk(AnswerChannel &channel, httplib::DataSink &sink)
    {
        std::string bytes;
        switch (channel.read(bytes, callerCheckInterval)) {
        case ReadState::Data:
            return sink.write(bytes.data(), bytes.size());
        case ReadState::Timeout:
            return sink.is_writable();
        case ReadState::Complete:
            sink.done();
            return true;
        case ReadState::Failed:
            // Without the final chunk no client can mistake the stream for complete.
            return false;
        }
        return false;
    }

    void fail(const Error &error)
    {
        writeError(error, requestId_, response_);
    }

    EntryServer &server_;
    EntryParts &parts_;
    const httplib::Request &request_;
    httplib::Response &response_;
    std::shared_ptr<const CompiledSettings> settings_;
    const Millis arrivedAt_;
    std::shared_ptr<ActivityGuard> activity_;
    std::string requestId_;
    std::string organisation_;
    std::string body_;
};

EntryServer::EntryServer(EntryParts parts)
    : parts_(std::move(parts))
    , streams_("stream", parts_.maximumStreams, 0)
    , server_("entry", HttpServerLimits{ .maximumThreads = parts_.maximumStreams * 2, .maximumBodyBytes = maxBodyBytes })
{
    addRoutes();
}

EntryServer::~EntryServer()
{
    stop();
}

Result<SocketAddress> EntryServer::start(const SocketAddress &address)
{
    return server_.start(address);
}

void EntryServer::finishRequests()
{
    activity_.waitUntilIdle();
}

void EntryServer::stop()
{
    server_.stop();
    streams_.stop();
}

std::size_t EntryServer::requestsInProgress() const
{
    return activity_.active();
}

void EntryServer::addRoutes()
{
    using httplib::ContentReader;
    using httplib::Request;
    using httplib::Response;
    httplib::Server &routes = server_.routes();
    routes.Get("/healthz", [](const Request &, Response &response) { response.set_content("ok\n", "text/plain"); });
    routes.Get("/readyz", [this](const Request &, Response &response) {
        const bool ready = !parts_.board.draining && parts_.board.settings.read()->version() > 0;
        response.status = ready ? 200 : httpStatusOf(ErrorCode::Stopping);
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    routes.Get("/v1/models", [this](const Request &request, Response &response) { Handler(*this, request, response).models(); });
    routes.Get("/portpaddle/entries",
               [this](const Request &request, Response &response) { Handler(*this, request, response).entries(); });
    routes.Post(std::string(chatPath), [this](const Request &request, Response &response, const ContentReader &reader) {
        Handler(*this, request, response).chat(&reader);
    });
    const auto withBody = [this](const Request &request, Response &response, const ContentReader &reader) {
        Handler(*this, request, response).plain(&reader);
    };
    const auto withoutBody
        = [this](const Request &request, Response &response) { Handler(*this, request, response).plain(nullptr); };
    routes.Get("/.*", withoutBody);
    routes.Options("/.*", withoutBody);
    routes.Post("/.*", withBody);
    routes.Put("/.*", withBody);
    routes.Patch("/.*", withBody);
    routes.Delete("/.*", withBody);
}

} // namespace Portpaddle
