// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "standins/engine_standin.h"

#include "portpaddle/base/system_clock.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

constexpr std::size_t prefixBytes = 2048;
constexpr std::size_t bytesPerToken = 4;
constexpr unsigned defaultTokens = 16;
constexpr unsigned maxTokens = 100'000;
constexpr std::size_t engineThreads = 1024;
constexpr std::size_t maxBodyBytes = 16 * 1024 * 1024;

std::string tokenText(const std::string &prompt, unsigned index)
{
    return fmt::format("w{}-{} ", index, (stableHash(prompt) + index * 7919ULL) % 997);
}

std::string joinedPrompt(const nlohmann::json &body)
{
    std::string prompt;
    for (const nlohmann::json &message : body.value("messages", nlohmann::json::array())) {
        prompt += message.contains("content") ? message["content"].dump() : "";
    }
    return prompt;
}

void respondNotRun(httplib::Response &response, const std::string &reason)
{
    response.status = 503;
    response.set_header("X-Run-State", "not_run");
    response.set_header("Retry-After", "1");
    response.set_content(nlohmann::json{ { "error", { { "message", reason } } } }.dump(), "application/json");
}

} // namespace

/// A request on the engine: the index of its next token, the end of the answer, and the tokens produced in this stream.
struct EngineStandIn::Job
{
    std::string id;
    std::string model;
    std::string prompt;
    unsigned nextToken = 0;
    unsigned endToken = 0;
    unsigned produced = 0;
};

EngineStandIn::EngineStandIn(EngineStandInConfig config)
    : config_(config), server_("engine", HttpServerLimits{ .maximumThreads = engineThreads, .maximumBodyBytes = maxBodyBytes })
{
    addRoutes();
}

EngineStandIn::~EngineStandIn()
{
    stop();
}

Result<SocketAddress> EngineStandIn::start(const SocketAddress &address)
{
    return server_.start(address);
}

void EngineStandIn::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    server_.stop();
}

void EngineStandIn::setLeaving(bool leaving)
{
    const std::lock_guard lock(mutex_);
    leaving_ = leaving;
}

void EngineStandIn::breakAfter(std::optional<unsigned> tokens)
{
    const std::lock_guard lock(mutex_);
    breakAfter_ = tokens;
}

void EngineStandIn::holdAt(std::optional<unsigned> tokens)
{
    const std::lock_guard lock(mutex_);
    holdAt_ = tokens;
    changed_.notify_all();
}

void EngineStandIn::awaitRunning(unsigned count)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return running_ >= count; });
}

void EngineStandIn::awaitCancelled(unsigned count)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return cancelled_ >= count; });
}

unsigned EngineStandIn::started() const
{
    const std::lock_guard lock(mutex_);
    return started_;
}

unsigned EngineStandIn::prefixHits() const
{
    const std::lock_guard lock(mutex_);
    return prefixHits_;
}

unsigned EngineStandIn::running() const
{
    const std::lock_guard lock(mutex_);
    return running_;
}

unsigned EngineStandIn::tokensProduced() const
{
    const std::lock_guard lock(mutex_);
    return tokens_;
}

unsigned EngineStandIn::cancelled() const
{
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

std::vector<ReceivedOrder> EngineStandIn::orders() const
{
    const std::lock_guard lock(mutex_);
    return orders_;
}

std::string EngineStandIn::answerText(const std::string &prompt, unsigned tokens)
{
    // joinedPrompt() takes the content as JSON, so the prompt is quoted here as well.
    std::string text;
    for (unsigned index = 0; index < tokens; ++index) {
        text += tokenText(nlohmann::json(prompt).dump(), index);
    }
    return text;
}

void EngineStandIn::addRoutes()
{
    using httplib::Request;
    using httplib::Response;
    server_.routes().Post("/v1/chat/completions",
                          [this](const Request &request, Response &response) { chat(request, response); });
    server_.routes().Get("/load", [this](const Request &, Response &response) { load(response); });
    server_.routes().Post("/orders", [this](const Request &request, Response &response) { receiveOrder(request, response); });
}

void EngineStandIn::chat(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        response.status = 400;
        return;
    }
    if (!acquireSlot(request.get_header_value("X-Priority") != "deferrable")) {
        return respondNotRun(response, "the engine is leaving or its queue is full");
    }
    auto job = std::make_shared<Job>();
    job->id = request.get_header_value("X-Request-Id");
    job->model = body.value("model", "");
    job->prompt = joinedPrompt(body);
    job->endToken = std::min(maxTokens, body.value("max_tokens", defaultTokens));
    const std::string resume = request.get_header_value("X-Resume-From-Token");
    job->nextToken = resume.empty() ? 0 : static_cast<unsigned>(std::stoul(resume));
    prefill(*job);
    if (body.value("stream", false)) {
        return stream(std::move(job), response);
    }
    std::string text;
    for (unsigned index = 0; index < job->endToken; ++index) {
        waitWhileHeld(index);
        std::this_thread::sleep_for(index > 0 ? config_.tokenTime : Millis{ 0 });
        text += tokenText(job->prompt, index);
    }
    releaseSlot();
    const nlohmann::json choice
        = { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", text } } }, { "finish_reason", "stop" } };
    const nlohmann::json usage
        = { { "prompt_tokens", job->prompt.size() / bytesPerToken }, { "completion_tokens", job->endToken } };
    const nlohmann::json answer = { { "id", "chatcmpl-" + job->id }, { "object", "chat.completion" }, { "created", 0 },
                                    { "model", job->model },         { "choices", { choice } },       { "usage", usage } };
    response.set_content(answer.dump(), "application/json");
}

void EngineStandIn::stream(std::shared_ptr<Job> job, httplib::Response &response)
{
    const auto sendNext = [this, job](std::size_t, httplib::DataSink &sink) {
        const auto send = [&](const std::string &data) {
            const std::string event = "data: " + data + "\n\n";
            return sink.write(event.data(), event.size());
        };
        const auto chunk = [&](const nlohmann::json &delta, const nlohmann::json &finish) {
            const nlohmann::json choice = { { "index", 0 }, { "delta", delta }, { "finish_reason", finish } };
            return nlohmann::json{
                { "id", "chatcmpl-" + job->id },
                { "object", "chat.completion.chunk" },
                { "created", 0 },
                { "model", job->model },
                { "choices", { choice } }
            }.dump();
        };
        if (job->nextToken >= job->endToken) {
            send(chunk(nlohmann::json::object(), "stop"));
            send("[DONE]");
            sink.done();
            return true;
        }
        waitWhileHeld(job->nextToken);
        {
            const std::lock_guard lock(mutex_);
            if (stopping_ || (breakAfter_ && job->produced >= *breakAfter_)) {
                // A truncated event is sent before the connection breaks, as by a machine that crashes.
                const std::string truncatedEvent = "data: {\"id\":\"chatc";
                sink.write(truncatedEvent.data(), truncatedEvent.size());
                return false;
            }
            ++tokens_;
        }
        if (job->produced > 0) {
            std::this_thread::sleep_for(config_.tokenTime);
        }
        ++job->produced;
        return send(chunk({ { "content", tokenText(job->prompt, job->nextToken++) } }, nullptr));
    };
    const auto endStream = [this, job](bool completed) {
        releaseSlot();
        const std::lock_guard lock(mutex_);
        cancelled_ += completed || breakAfter_ ? 0 : 1;
        changed_.notify_all();
    };
    response.set_chunked_content_provider("text/event-stream", sendNext, endStream);
}

void EngineStandIn::load(httplib::Response &response)
{
    const Millis now = SystemClock().monotonic();
    const std::lock_guard lock(mutex_);
    if (lastReport_.empty() || now >= reportedAt_ + config_.reportLag) {
        reportedAt_ = now;
        lastReport_ = nlohmann::json{
            { "running", running_ },
            { "queued_interactive", queuedInteractive_ },
            { "queued_deferrable", queuedDeferrable_ },
            { "leaving", leaving_ }
        }.dump();
    }
    nlohmann::json report = nlohmann::json::parse(lastReport_);
    report["age_ms"] = (now - reportedAt_).count();
    response.set_content(report.dump(), "application/json");
}

void EngineStandIn::receiveOrder(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        response.status = 400;
        return;
    }
    const std::lock_guard lock(mutex_);
    ReceivedOrder order{ body.value("order", ""), body.value("subject", ""), body.value("fence", std::uint64_t{ 0 }), false };
    order.accepted = !config_.checksFence || order.fence >= highestFence_;
    highestFence_ = std::max(highestFence_, order.fence);
    orders_.push_back(order);
    response.status = order.accepted ? 200 : 409;
    response.set_content(nlohmann::json{ { "accepted", order.accepted } }.dump(), "application/json");
}

bool EngineStandIn::acquireSlot(bool interactive)
{
    std::unique_lock lock(mutex_);
    if (leaving_ || stopping_ || queuedInteractive_ + queuedDeferrable_ >= config_.queueLimit) {
        return false;
    }
    unsigned &queued = interactive ? queuedInteractive_ : queuedDeferrable_;
    ++queued;
    changed_.wait(lock, [&] {
        const bool mayStart = interactive || queuedInteractive_ == 0;
        return stopping_ || (running_ < config_.slots && mayStart);
    });
    --queued;
    if (stopping_) {
        return false;
    }
    ++running_;
    ++started_;
    changed_.notify_all();
    return true;
}

void EngineStandIn::releaseSlot()
{
    const std::lock_guard lock(mutex_);
    --running_;
    changed_.notify_all();
}

void EngineStandIn::prefill(const Job &job)
{
    const std::string prefix = job.prompt.substr(0, prefixBytes);
    bool cached = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = std::find(cache_.begin(), cache_.end(), prefix);
        cached = found != cache_.end();
        prefixHits_ += cached ? 1 : 0;
        if (cached) {
            cache_.erase(found);
        }
        cache_.push_front(prefix);
        if (cache_.size() > config_.cachedPrefixes) {
            cache_.pop_back();
        }
    }
    if (!cached && config_.prefillTokensPerSecond > 0) {
        const double seconds = static_cast<double>(job.prompt.size() / bytesPerToken) / config_.prefillTokensPerSecond;
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

void EngineStandIn::waitWhileHeld(unsigned token)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return stopping_ || !holdAt_ || token < *holdAt_; });
}

} // namespace Portpaddle
