// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream/http_upstream_client.h"

#include "portpaddle/base/socket_address.h"
#include "portpaddle/base/text.h"
#include "portpaddle/net/checked_client.h"
#include "portpaddle/net/http_status.h"

#include <algorithm>
#include <array>
#include <memory>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

constexpr Millis connectTimeout{ 1'000 };
/// An upstream that sends nothing for this long while a stream is open is treated as broken.
constexpr Millis maxSilence{ 30'000 };
constexpr std::string_view runStateHeader = "X-Run-State";

AttemptResult notRun(ErrorCode code, std::string message, std::optional<Millis> retryAfter = std::nullopt)
{
    return AttemptResult{ AttemptEnd::NotRun, Error{ code, std::move(message), RunState::NotRun, retryAfter } };
}

httplib::Request buildRequest(const Call &call)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    for (const HeaderField &field : call.headers) {
        request.headers.emplace(field.name, field.value);
    }
    request.headers.emplace("X-Request-Id", call.facts.requestId);
    if (call.streamed && call.resumeFrom > 0) {
        request.headers.emplace("X-Resume-From-Token", std::to_string(call.resumeFrom));
    }
    if (!call.idempotencyKey.empty()) {
        request.headers.emplace("Idempotency-Key", call.idempotencyKey);
    }
    return request;
}

/// The state of one attempt, from which its result is determined.
struct AttemptProgress
{
    explicit AttemptProgress(AnswerSink &receiver) : sink(receiver)
    {
    }

    AnswerSink &sink;
    bool headSeen = false;
    bool hasInvalidStatus = false;
    bool refusedAsNotRun = false;
    bool receiverGone = false;
    int status = 0;
    std::optional<Millis> retryAfter;
};

/// Whether @p status can be that of the answer after which no other one follows.
bool isFinal(int status)
{
    const auto number = static_cast<unsigned>(status);
    return HttpStatus::isValid(number) && !HttpStatus::isInformational(number);
}

bool receiveHead(AttemptProgress &progress, const httplib::Response &response)
{
    progress.headSeen = true;
    progress.status = response.status;
    progress.hasInvalidStatus = !isFinal(response.status);
    if (progress.hasInvalidStatus) {
        return false;
    }
    if (response.get_header_value(std::string(runStateHeader)) == nameOf(RunState::NotRun)) {
        progress.refusedAsNotRun = true;
        const std::string seconds = response.get_header_value("Retry-After");
        if (!seconds.empty()
            && std::all_of(seconds.begin(), seconds.end(), [](unsigned char digit) { return std::isdigit(digit); })
            && seconds.size() < 6) {
            progress.retryAfter = std::chrono::seconds(std::stoi(seconds));
        }
        return false;
    }
    AnswerHead head{ response.status, {} };
    for (const auto &[name, value] : response.headers) {
        if (!isHopByHopHeader(name)) {
            head.headers.push_back(HeaderField{ name, value });
        }
    }
    progress.receiverGone = !progress.sink.head(head);
    return !progress.receiverGone;
}

AttemptResult resultOf(const AttemptProgress &progress, httplib::Error error)
{
    if (progress.hasInvalidStatus) {
        return AttemptResult{ AttemptEnd::Broken,
                              Error{ ErrorCode::UpstreamFailed,
                                     fmt::format("the upstream's answer has the invalid status {}", progress.status),
                                     RunState::MayHaveRun, std::nullopt } };
    }
    if (progress.refusedAsNotRun) {
        return notRun(ErrorCode::Overloaded, "the upstream refused the request without running it", progress.retryAfter);
    }
    if (progress.receiverGone || progress.sink.receiverGone()) {
        return AttemptResult{ AttemptEnd::ReceiverGone,
                              Error{ ErrorCode::Cancelled, "the caller disconnected", RunState::MayHaveRun, std::nullopt } };
    }
    if (error == httplib::Error::Success) {
        return AttemptResult{};
    }
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
        return notRun(ErrorCode::UpstreamFailed, "the upstream cannot be reached");
    }
    return AttemptResult{ AttemptEnd::Broken,
                          Error{ ErrorCode::UpstreamFailed,
                                 fmt::format("the upstream's answer is incomplete: {}", httplib::to_string(error)),
                                 RunState::MayHaveRun, std::nullopt } };
}

} // namespace

AttemptResult HttpUpstreamClient::attempt(const std::string &address, const Call &call, Millis timeLeft, AnswerSink &sink)
{
    const Result<SocketAddress> parsed = parseSocketAddress(address);
    if (!isOk(parsed)) {
        return notRun(ErrorCode::UpstreamFailed, errorOf(parsed).message);
    }
    CheckedClient client(valueOf(parsed).host, valueOf(parsed).port);
    client.set_connection_timeout(std::min(connectTimeout, timeLeft));
    client.set_read_timeout(std::min(maxSilence, timeLeft));
    client.set_write_timeout(std::min(maxSilence, timeLeft));
    client.set_tcp_nodelay(true);
    client.set_decompress(false);

    AttemptProgress progress(sink);
    httplib::Request request = buildRequest(call);
    request.response_handler = [&](const httplib::Response &response) { return receiveHead(progress, response); };
    request.content_receiver = [&](const char *bytes, std::size_t size, std::uint64_t, std::uint64_t) {
        progress.receiverGone = !sink.data(std::string_view(bytes, size));
        return !progress.receiverGone;
    };
    sink.onReceiverGone([&client] { client.stop(); });
    const httplib::Result result = client.send(request);
    sink.onReceiverGone({});
    return resultOf(progress, result.error());
}

bool isHopByHopHeader(const std::string &name)
{
    static constexpr std::array<std::string_view, 10> names{ "connection",
                                                             "keep-alive",
                                                             "proxy-authenticate",
                                                             "proxy-authorization",
                                                             "te",
                                                             "trailer",
                                                             "transfer-encoding",
                                                             "upgrade",
                                                             "content-length",
                                                             "host" };
    const std::string lower = lowerCase(name);
    return std::find(names.begin(), names.end(), lower) != names.end();
}

} // namespace Portpaddle
