// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "standins/plain_standin.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

constexpr std::size_t serviceThreads = 256;

} // namespace

PlainStandIn::PlainStandIn() : server_("plain", HttpServerLimits{ .maximumThreads = serviceThreads })
{
    using httplib::Request;
    using httplib::Response;
    const auto handler = [this](const Request &request, Response &response) { serve(request, response); };
    server_.routes().Get("/load", [this](const Request &, Response &response) {
        const std::lock_guard lock(mutex_);
        response.set_content(nlohmann::json{ { "running", 0 }, { "leaving", leaving_ } }.dump(), "application/json");
    });
    server_.routes().Get("/.*", handler);
    server_.routes().Post("/.*", handler);
    server_.routes().Put("/.*", handler);
    server_.routes().Delete("/.*", handler);
}

PlainStandIn::~PlainStandIn()
{
    stop();
}

Result<SocketAddress> PlainStandIn::start(const SocketAddress &address)
{
    return server_.start(address);
}

void PlainStandIn::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    server_.stop();
}

void PlainStandIn::setFault(PlainFault fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    changed_.notify_all();
}

void PlainStandIn::setLeaving(bool leaving)
{
    const std::lock_guard lock(mutex_);
    leaving_ = leaving;
}

unsigned PlainStandIn::runs(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(key);
    return found == runs_.end() ? 0 : found->second;
}

unsigned PlainStandIn::allRuns() const
{
    const std::lock_guard lock(mutex_);
    return allRuns_;
}

void PlainStandIn::awaitRuns(unsigned count)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return allRuns_ >= count; });
}

void PlainStandIn::serve(const httplib::Request &request, httplib::Response &response)
{
    const std::string idempotencyKey = request.get_header_value("Idempotency-Key");
    const std::string key = idempotencyKey.empty() ? request.method + ' ' + request.path : idempotencyKey;
    unsigned count = 0;
    PlainFault fault = PlainFault::None;
    {
        std::unique_lock lock(mutex_);
        count = ++runs_[key];
        ++allRuns_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return stopping_ || fault_ != PlainFault::Hold; });
        fault = fault_;
    }
    if (fault == PlainFault::CutAnswer) {
        constexpr std::size_t declaredLength = 100;
        response.set_content_provider(declaredLength, "application/json",
                                      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
        return;
    }
    if (fault == PlainFault::HugeAnswer) {
        constexpr std::size_t answerBytes = 17 * 1024 * 1024;
        response.set_content(std::string(answerBytes, 'x'), "text/plain");
        return;
    }
    const std::string status = request.get_header_value("X-Want-Status");
    response.status = status.empty() ? 200 : std::stoi(status);
    response.set_header("X-Answered-By", "plain-standin");
    const nlohmann::json json = { { "method", request.method },
                                  { "path", request.target },
                                  { "body", request.body },
                                  { "runs", count },
                                  { "authorization_seen", request.has_header("Authorization") } };
    response.set_content(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

} // namespace Portpaddle
