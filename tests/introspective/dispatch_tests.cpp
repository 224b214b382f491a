// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Dispatch of a request: attempts, retries, resumption and failure.

#include "portpaddle/base/metrics.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/claims/claim_store.h"
#include "portpaddle/dispatch/answer_channel.h"
#include "portpaddle/dispatch/dispatcher.h"
#include "portpaddle/dispatch/token_stream.h"
#include "portpaddle/link/link_server.h"
#include "portpaddle/platform/memory_platform.h"
#include "support/manual_clock.h"
#include "support/recording_sink.h"
#include "support/settings_text.h"

#include <thread>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Portpaddle;

namespace {

const std::string settingsText = R"({
  "/": {},
  "/regions/north": {"link_ms": {"south": 1}}, "/regions/north/data_centres/n1": {},
  "/regions/south": {}, "/regions/south/data_centres/s1": {},
  "/regions/north/data_centres/n1/upstreams/e1": {"address": "127.0.0.1:1", "services": ["m"]},
  "/regions/north/data_centres/n1/upstreams/e2": {"address": "127.0.0.1:2", "services": ["m"]},
  "/regions/north/data_centres/n1/upstreams/e3": {"address": "127.0.0.1:3", "services": ["m"]},
  "/regions/north/data_centres/n1/upstreams/p1": {"address": "127.0.0.1:4", "services": ["desk"]},
  "/regions/north/data_centres/n1/upstreams/p2": {"address": "127.0.0.1:5", "services": ["desk"]},
  "/services/m": {},
  "/services/desk": {"kind": "plain", "path_prefix": "/desk/", "at_most_once": ["POST /desk/confirm"]},
  "/organisations/home": {"residency": ["north"]}
})";

AttemptResult brokenOff()
{
    return AttemptResult{ AttemptEnd::Broken, Error{ ErrorCode::UpstreamFailed, "cut", RunState::MayHaveRun, std::nullopt } };
}

AttemptResult neverSent()
{
    return AttemptResult{ AttemptEnd::NotRun,
                          Error{ ErrorCode::UpstreamFailed, "no connection", RunState::NotRun, std::nullopt } };
}

class DispatchFixture
{
public:
    DispatchFixture()
    {
        board.settings.publish(compiledFrom(settingsText));
        snapshots.rebuild();
        peers.script = [](const std::string &, const Call &, AnswerSink &) { return neverSent(); };
    }

    Call chatCall(bool streamed = true)
    {
        Call call;
        call.streamed = streamed;
        call.retryable = true;
        call.facts.requestId = "r1";
        call.facts.organisation = "o";
        call.facts.service = "m";
        call.facts.arrivedAt = clock.monotonic();
        call.facts.deadline = clock.monotonic() + Millis{ 60'000 };
        return call;
    }

    Call plainCall(const std::string &method, const std::string &path, const std::string &key = "")
    {
        Call call = chatCall(false);
        const ServiceSettings *service = board.settings.read()->service("desk");
        call.method = method;
        call.path = path;
        call.facts.service = "desk";
        call.retryable = service->isRetryable(method);
        call.atMostOnce = service->isAtMostOnce(method, path);
        call.idempotencyKey = key;
        return call;
    }

    /// Sends the tokens from the requested one up to @p end, then the closing event if @p whole, else half an event.
    static AttemptResult sendTokens(const Call &call, AnswerSink &sink, unsigned end, bool whole,
                                    std::vector<HeaderField> headers = {})
    {
        sink.head(AnswerHead{ 200, std::move(headers) });
        for (unsigned token = call.resumeFrom; token < end; ++token) {
            sink.data(tokenEvent("t" + std::to_string(token)));
        }
        if (!whole) {
            sink.data("data: {\"half");
            return brokenOff();
        }
        sink.data(closingEvent);
        return AttemptResult{};
    }

    static std::string wholeText(unsigned tokens)
    {
        std::string text;
        for (unsigned token = 0; token < tokens; ++token) {
            text += tokenEvent("t" + std::to_string(token));
        }
        return text + closingEvent;
    }

    ManualClock clock;
    SeededRandom random{ 5 };
    Metrics metrics;
    MemoryPlatform platform{ clock };
    Blackboard board;
    RemoteDispatches remoteDispatches;
    SnapshotBuilder snapshots{ board, clock, remoteDispatches };
    ScriptedUpstreams upstreams;
    ScriptedPeers peers;
    ClaimStore claims{ platform, clock, random, "d1" };
    TraceRing traces;
    Dispatcher dispatcher{ DispatcherParts{ board, clock, random, metrics, upstreams, peers, remoteDispatches, claims, traces } };
    RecordingSink sink;
};

} // namespace

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, stream breaks in the middle, resumes at the next token on another engine")
{
    std::vector<std::string> asked;
    upstreams.script = [&](const std::string &address, const Call &call, AnswerSink &into) {
        asked.push_back(address);
        return sendTokens(call, into, asked.size() == 1 ? 3 : asked.size() == 2 ? 5 : 8, asked.size() == 3);
    };
    const Status status = dispatcher.run(chatCall(), sink);
    CHECK(isOk(status));
    CHECK(sink.text() == wholeText(8));
    CHECK(sink.heads() == 1);
    REQUIRE(asked.size() == 3);
    CHECK(asked[0] != asked[1]);
    CHECK(asked[1] != asked[2]);
    CHECK(metrics.value(Counter::Resumes) == 2);
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, stream breaks beside engines of another version, goes on only at its own version")
{
    std::string mixed = settingsText;
    for (const char *port : { "127.0.0.1:2", "127.0.0.1:3" }) {
        mixed.replace(mixed.find("\"m\"", mixed.find(port)), 3, "\"m@2\"");
    }
    board.settings.publish(compiledFrom(mixed));
    snapshots.rebuild();
    std::vector<std::string> asked;
    upstreams.script = [&](const std::string &address, const Call &call, AnswerSink &into) {
        asked.push_back(address);
        return sendTokens(call, into, 3 * static_cast<unsigned>(asked.size()), false);
    };
    CHECK_FALSE(isOk(dispatcher.run(chatCall(), sink)));
    const bool beganAtOldest = asked.front() == "127.0.0.1:1";
    CHECK(asked.size() == (beganAtOldest ? 1 : 2));
    CHECK(std::count(asked.begin(), asked.end(), "127.0.0.1:1") == (beganAtOldest ? 1 : 0));
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, stream without closing event, is not treated as complete")
{
    upstreams.script = [&](const std::string &, const Call &call, AnswerSink &into) {
        sendTokens(call, into, 3, false);
        return AttemptResult{};
    };
    const Status status = dispatcher.run(chatCall(), sink);
    REQUIRE(!isOk(status));
    CHECK(errorOf(status).run == RunState::MayHaveRun);
    CHECK(sink.text().find(closingEvent) == std::string::npos);
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, unreachable engines, others are tried before the request is refused as not run")
{
    upstreams.script = [](const std::string &, const Call &, AnswerSink &) { return neverSent(); };
    const Status status = dispatcher.run(chatCall(), sink);
    REQUIRE(!isOk(status));
    CHECK(errorOf(status).run == RunState::NotRun);
    CHECK(upstreams.attempts == 3);
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, at-most-once call breaks after it was sent, is not sent again")
{
    upstreams.script = [](const std::string &, const Call &, AnswerSink &) { return brokenOff(); };
    const Status status = dispatcher.run(plainCall("POST", "/desk/confirm", "k1"), sink);
    REQUIRE(!isOk(status));
    CHECK(errorOf(status).run == RunState::MayHaveRun);
    CHECK(upstreams.attempts == 1);
    const Status repeated = dispatcher.run(plainCall("POST", "/desk/confirm", "k1"), sink);
    REQUIRE(!isOk(repeated));
    CHECK(errorOf(repeated).code == ErrorCode::DuplicateRequest);
    CHECK(upstreams.attempts == 1);
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, at-most-once call was never sent, goes to another upstream under the same claim")
{
    upstreams.script = [&](const std::string &, const Call &, AnswerSink &into) {
        if (upstreams.attempts == 1) {
            return neverSent();
        }
        into.head(AnswerHead{ 200, {} });
        return AttemptResult{};
    };
    CHECK(isOk(dispatcher.run(plainCall("POST", "/desk/confirm", "k1"), sink)));
    CHECK(upstreams.attempts == 2);
    CHECK(platform.calls().writes == 2);
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, claim whose call never ran, is released so that a retry may run")
{
    upstreams.script = [](const std::string &, const Call &, AnswerSink &) { return neverSent(); };
    CHECK(errorOf(dispatcher.run(plainCall("POST", "/desk/confirm", "k1"), sink)).run == RunState::NotRun);
    upstreams.script = [](const std::string &, const Call &, AnswerSink &into) {
        into.head(AnswerHead{ 200, {} });
        return AttemptResult{};
    };
    clock.advance(Millis{ 60'000 });
    snapshots.rebuild();
    CHECK(isOk(dispatcher.run(plainCall("POST", "/desk/confirm", "k1"), sink)));
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, platform down, keyed call is refused as not run and others are served")
{
    platform.setFaults(PlatformFaults{ .down = true, .losesReplies = false });
    upstreams.script = [](const std::string &, const Call &, AnswerSink &into) {
        into.head(AnswerHead{ 200, {} });
        return AttemptResult{};
    };
    const Status status = dispatcher.run(plainCall("POST", "/desk/confirm", "k1"), sink);
    REQUIRE(!isOk(status));
    CHECK(errorOf(status).code == ErrorCode::ClaimUnavailable);
    CHECK(upstreams.attempts == 0);
    CHECK(isOk(dispatcher.run(plainCall("GET", "/desk/balance"), sink)));
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, call not declared retryable, is sent once when its answer is cut")
{
    upstreams.script = [](const std::string &, const Call &, AnswerSink &) { return brokenOff(); };
    CHECK(errorOf(dispatcher.run(plainCall("POST", "/desk/note"), sink)).run == RunState::MayHaveRun);
    CHECK(upstreams.attempts == 1);
    dispatcher.run(plainCall("GET", "/desk/balance"), sink);
    CHECK(upstreams.attempts == 3);
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, many failures at once, retries stay within the budget")
{
    upstreams.script = [](const std::string &, const Call &, AnswerSink &) { return brokenOff(); };
    constexpr int requests = 200;
    for (int index = 0; index < requests; ++index) {
        RecordingSink own;
        dispatcher.run(plainCall("GET", "/desk/balance"), own);
        clock.advance(Millis{ 60'000 });
        snapshots.rebuild();
    }
    CHECK(metrics.value(Counter::Retries) <= 10 + requests / 10);
    CHECK(metrics.value(Counter::Retries) >= requests / 10);
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, upstream fails three times, is ejected and returns gradually")
{
    upstreams.script = [](const std::string &, const Call &, AnswerSink &) { return neverSent(); };
    for (int index = 0; index < 3; ++index) {
        dispatcher.run(plainCall("POST", "/desk/note"), sink);
    }
    snapshots.rebuild();
    const auto viewOf = [&] {
        const std::shared_ptr<const RoutingSnapshot> snapshot = board.routing.read();
        return *std::find_if(snapshot->upstreams.begin(), snapshot->upstreams.end(),
                             [](const UpstreamView &view) { return view.id == "p1"; });
    };
    CHECK(!viewOf().healthy);
    clock.advance(Millis{ 1'000 });
    snapshots.rebuild();
    CHECK(viewOf().healthy);
    CHECK(viewOf().admitted == doctest::Approx(0.1));
    clock.advance(Millis{ 5'000 });
    snapshots.rebuild();
    CHECK(viewOf().admitted == doctest::Approx(0.5));
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, deadline passes during an answer, answer is cut and not reported as complete")
{
    upstreams.script = [&](const std::string &, const Call &call, AnswerSink &into) {
        into.head(AnswerHead{ 200, {} });
        into.data(tokenEvent("t0"));
        clock.advance(Millis{ 60'000 });
        const bool taken = into.data(tokenEvent("t1"));
        CHECK(!taken);
        (void)call;
        return AttemptResult{ AttemptEnd::ReceiverGone, Error{} };
    };
    const Status status = dispatcher.run(chatCall(), sink);
    REQUIRE(!isOk(status));
    CHECK(errorOf(status).code == ErrorCode::DeadlineExceeded);
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, other data centre breaks off, stream is resumed and not sent there again")
{
    auto summaries = std::make_shared<SummaryTable>();
    summaries->entries.push_back(SummaryEntry{ "s1", "m", 1, 100, 0, 0, { "" }, clock.monotonic() });
    board.summaries.publish(summaries);
    auto members = std::make_shared<MemberTable>();
    members->members.push_back(MemberView{ "s-a", "south", "s1", "127.0.0.1:1", "127.0.0.1:1", true, false, false });
    board.members.publish(members);
    UpstreamReport full;
    full.observedAt = clock.monotonic();
    full.load.running = 9;
    full.load.queuedInteractive = 2;
    for (const char *id : { "e1", "e2", "e3" }) {
        full.upstream = id;
        ++full.sequence;
        board.upstreams.takeReport(full);
    }
    snapshots.rebuild();
    peers.script = [&](const std::string &, const Call &call, AnswerSink &into) {
        CHECK(call.facts.visited == std::vector<std::string>{ "n1" });
        UpstreamReport free = full;
        free.load = {};
        free.observedAt = clock.monotonic() + Millis{ 1 };
        for (const char *id : { "e1", "e2", "e3" }) {
            free.upstream = id;
            free.sequence += 100;
            board.upstreams.takeReport(free);
        }
        snapshots.rebuild();
        return sendTokens(call, into, 4, false, { { streamVersionField, "" } });
    };
    upstreams.script = [&](const std::string &, const Call &call, AnswerSink &into) {
        CHECK(call.resumeFrom == 4);
        return sendTokens(call, into, 6, true);
    };
    CHECK(isOk(dispatcher.run(chatCall(), sink)));
    CHECK(sink.text() == wholeText(6));
    CHECK(peers.forwards == 1);
}

TEST_CASE_FIXTURE(DispatchFixture, "Dispatch, any request, can be explained with reasons and settings")
{
    upstreams.script = [&](const std::string &, const Call &call, AnswerSink &into) { return sendTokens(call, into, 1, true); };
    dispatcher.run(chatCall(), sink);
    const nlohmann::json json = explain(*traces.find("r1"));
    CHECK(json["outcome"] == "complete");
    REQUIRE(json["steps"].size() == 1);
    CHECK(json["steps"][0]["verdict"] == "serve");
    CHECK(json["steps"][0]["candidates"].size() == 3);
    CHECK(json["steps"][0]["settings_version"] == 1);
    CHECK(!json["steps"][0]["settings"].empty());
}

TEST_CASE_FIXTURE(DispatchFixture, "Forwarded request, each rule broken, is refused as not run")
{
    const std::shared_ptr<const CompiledSettings> settings = board.settings.read();
    const auto codeOf = [&](const Call &call, const std::vector<std::string> &residency, std::uint64_t version, bool draining) {
        const std::optional<Error> error = checkForwarded(call, residency, version, *settings, draining);
        REQUIRE(error.has_value());
        CHECK(error->run == RunState::NotRun);
        return error->code;
    };
    Call call = chatCall();
    call.facts.visited = { "s1" };
    CHECK(!checkForwarded(call, {}, 1, *settings, false).has_value());
    CHECK(codeOf(call, {}, 1, true) == ErrorCode::Stopping);
    CHECK(codeOf(call, {}, 2, false) == ErrorCode::SettingsTooOld);
    CHECK(codeOf(call, { "south" }, 1, false) == ErrorCode::ResidencyForbids);
    call.facts.visited = { "s1", "n1" };
    CHECK(codeOf(call, {}, 1, false) == ErrorCode::LoopRefused);
    call.facts.visited = { "s1", "w1", "x1" };
    CHECK(codeOf(call, {}, 1, false) == ErrorCode::HopLimitReached);
    const std::shared_ptr<const CompiledSettings> inSouth
        = CompiledSettings::compile(treeFrom(settingsText), Place{ "south", "s1" });
    call.facts.visited = { "n1" };
    call.facts.organisation = "home";
    CHECK(checkForwarded(call, {}, 1, *inSouth, false)->code == ErrorCode::ResidencyForbids);
}

TEST_CASE("Token stream, events split anywhere, passes complete events only and counts tokens")
{
    const std::string all = tokenEvent("a") + "data: {\"choices\":[{\"delta\":{}}]}\n\n" + tokenEvent("b") + closingEvent;
    for (std::size_t cut = 0; cut <= all.size(); ++cut) {
        RecordingSink sink;
        TokenStream stream(sink);
        stream.data(all.substr(0, cut));
        CHECK(all.compare(0, sink.text().size(), sink.text()) == 0);
        CHECK((sink.text().empty() || sink.text().substr(sink.text().size() - 2) == "\n\n"));
        stream.data(all.substr(cut));
        CHECK(sink.text() == all);
        CHECK(stream.tokens() == 2);
        CHECK(stream.finished());
    }
}

TEST_CASE("Token stream, opening event with empty content, is not counted as a token")
{
    RecordingSink sink;
    TokenStream stream(sink);
    stream.data("data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n");
    CHECK(stream.tokens() == 0);
}

TEST_CASE("Answer channel, slow reader, blocks its writer until the reader disconnects")
{
    AnswerChannel channel(10);
    std::atomic<bool> refused{ false };
    bool hookCalled = false;
    channel.onReceiverGone([&] { hookCalled = true; });
    std::thread writer([&] {
        while (channel.data("0123456789")) { }
        refused = true;
    });
    std::string bytes;
    CHECK(channel.read(bytes, Millis{ 60'000 }) == ReadState::Data);
    CHECK(!refused);
    channel.abandon();
    writer.join();
    CHECK(hookCalled);
}
