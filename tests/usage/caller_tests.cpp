// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Behaviour of one daemon towards its callers, over real sockets.

#include "support/test_site.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

class CallerFixture : public TestSite
{
public:
    CallerFixture()
    {
        addRegion("north");
        first = &addEngine("north", "e1");
        second = &addEngine("north", "e2");
        desk = &addPlain("north", "p1");
        settings["/regions/south"] = nlohmann::json::object();
        settings["/organisations/bound"] = { { "residency", { "south" } } };
        applySettings();
        addDaemon("north-a", "north");
        REQUIRE(settle());
    }

    /// Sends raw bytes and returns the answer up to the end of the connection.
    std::string sendRaw(const std::string &bytes, bool closeEarly = false) const
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in native = toNative(addresses[0].entry);
        REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) == 0);
        send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (closeEarly) {
            shutdown(descriptor, SHUT_WR);
        }
        std::string answer;
        char buffer[4096];
        for (ssize_t size = recv(descriptor, buffer, sizeof buffer, 0); size > 0;
             size = recv(descriptor, buffer, sizeof buffer, 0)) {
            answer.append(buffer, static_cast<std::size_t>(size));
        }
        close(descriptor);
        return answer;
    }

    EngineStandIn *first = nullptr;
    EngineStandIn *second = nullptr;
    PlainStandIn *desk = nullptr;
};

nlohmann::json errorIn(const httplib::Result &reply)
{
    REQUIRE(reply);
    return nlohmann::json::parse(reply->body).at("error");
}

} // namespace

TEST_CASE_FIXTURE(CallerFixture, "Caller, streamed and whole chat, gets the same text and a request id that can be explained")
{
    httplib::Client client = caller(0);
    const httplib::Result streamed = client.Post("/v1/chat/completions", chatBody("hello", 5, true), "application/json");
    REQUIRE(streamed);
    CHECK(streamed->status == 200);
    CHECK(textOf(streamed->body) == EngineStandIn::answerText("hello", 5));
    const httplib::Result whole = client.Post("/v1/chat/completions", chatBody("hello", 5, false), "application/json");
    REQUIRE(whole);
    CHECK(nlohmann::json::parse(whole->body)["choices"][0]["message"]["content"] == EngineStandIn::answerText("hello", 5));
    const std::optional<std::string> explained = daemons[0]->findExplanation(streamed->get_header_value("X-Request-Id"));
    REQUIRE(explained.has_value());
    CHECK(nlohmann::json::parse(*explained)["outcome"] == "complete");
    const httplib::Result models = client.Get("/v1/models");
    CHECK(nlohmann::json::parse(models->body)["data"][0]["id"] == "m");
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, invalid input of each kind, is refused with a reason and other callers are served")
{
    httplib::Client client = caller(0);
    const auto post = [&](const std::string &body) { return client.Post("/v1/chat/completions", body, "application/json"); };
    CHECK(errorIn(post("{\"model\": ")).at("code") == "bad_request");
    CHECK(errorIn(post("{\"model\": \"\xff\xfe\"}")).at("code") == "bad_request");
    CHECK(errorIn(post("[]")).at("message") == "the body must be an object");
    CHECK(errorIn(post(R"({"model": 5})")).at("message") == "model must be a string");
    CHECK(errorIn(post(R"({"model": "m", "messages": []})")).at("code") == "bad_request");
    CHECK(errorIn(post(R"({"model": "m", "messages": [{"role": "user", "content": 5}]})")).at("code") == "bad_request");
    CHECK(errorIn(post(R"({"model": "m", "messages": [{"role": "user"}], "max_tokens": -1})")).at("code") == "bad_request");
    CHECK(errorIn(post(R"({"model": "none", "messages": [{"role": "user"}]})")).at("code") == "unknown_service");
    CHECK(errorIn(client.Get("/elsewhere")).at("code") == "unknown_path");
    const httplib::Result large = post(std::string(9 * 1024 * 1024, ' '));
    CHECK((!large || large->status == 413));
    const httplib::Result deep = post(std::string(200'000, '['));
    CHECK(errorIn(deep).at("run") == "not_run");
    CHECK(client.Post("/v1/chat/completions", chatBody("x", 1, false), "application/json")->status == 200);
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, long paths, long headers and truncated bodies, do not disturb the daemon")
{
    const std::string head = " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer shop-key\r\n";
    for (const std::size_t length : { 513, 2'000, 8'000 }) {
        const std::string answer = sendRaw("GET /" + std::string(length, 'a') + head + "Connection: close\r\n\r\n");
        CHECK(answer.find(" 414 ") != std::string::npos);
    }
    sendRaw("GET /desk/x" + head + "X-Big: " + std::string(10'000, 'b') + "\r\n\r\n", true);
    const std::string cut = sendRaw("POST /desk/note" + head + "Content-Length: 100\r\n\r\nhalf", true);
    CHECK((cut.empty() || cut.find(" 400 ") != std::string::npos));
    CHECK(desk->allRuns() == 0);
    CHECK(caller(0).Get("/desk/balance")->status == 200);
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, unknown key or none, is refused, and a known one survives a platform outage")
{
    CHECK(errorIn(caller(0, "guess").Get("/v1/models")).at("code") == "unauthenticated");
    httplib::Client nobody("127.0.0.1", addresses[0].entry.port);
    CHECK(nobody.Get("/v1/models")->status == 401);
    CHECK(caller(0).Get("/v1/models")->status == 200);
    platform.platform().setFaults(PlatformFaults{ .down = true, .losesReplies = false });
    CHECK(caller(0).Post("/v1/chat/completions", chatBody("x", 1, false), "application/json")->status == 200);
    CHECK(caller(0, "new-key").Get("/v1/models")->status == 503);
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, organisation bound to another region, is refused before the body is read")
{
    // Only the head is sent, since the refusal must not wait for a body.
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer bound-key\r\n"
                             "Connection: close\r\nContent-Length: 1000\r\n\r\n";
    const std::string answer = sendRaw(head);
    CHECK(answer.find("residency_forbids") != std::string::npos);
    CHECK(answer.find("\"run\":\"not_run\"") != std::string::npos);
    const httplib::Result entries = caller(0, "bound-key").Get("/portpaddle/entries");
    CHECK(nlohmann::json::parse(entries->body)["entries"].empty());
    CHECK(nlohmann::json::parse(caller(0).Get("/portpaddle/entries")->body)["entries"].size() == 1);
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, plain service, gets method, body, status and headers passed through")
{
    httplib::Client client = caller(0);
    const httplib::Headers headers{ { "X-Want-Status", "418" } };
    const httplib::Result reply = client.Put("/desk/a/b?c=d", headers, "payload", "text/plain");
    REQUIRE(reply);
    CHECK(reply->status == 418);
    CHECK(reply->get_header_value("X-Answered-By") == "plain-standin");
    const nlohmann::json json = nlohmann::json::parse(reply->body);
    CHECK(json["method"] == "PUT");
    CHECK(json["path"] == "/desk/a/b?c=d");
    CHECK(json["body"] == "payload");
    CHECK(json["authorization_seen"] == false);
}

TEST_CASE_FIXTURE(CallerFixture,
                  "Caller, answer larger than the bound, gets an error that says so and that the call may have run")
{
    desk->setFault(PlainFault::HugeAnswer);
    const nlohmann::json error = errorIn(caller(0).Get("/desk/everything"));
    CHECK(error.at("code") == "upstream_failed");
    CHECK(error.at("run") == "may_have_run");
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, retry of a keyed call whose answer was cut, is refused as possibly run")
{
    desk->setFault(PlainFault::CutAnswer);
    const httplib::Headers headers{ { "Idempotency-Key", "k9" } };
    httplib::Client client = caller(0);
    CHECK(errorIn(client.Post("/desk/confirm", headers, "{}", "application/json")).at("run") == "may_have_run");
    desk->setFault(PlainFault::None);
    const nlohmann::json repeated = errorIn(client.Post("/desk/confirm", headers, "{}", "application/json"));
    CHECK(repeated.at("code") == "duplicate_request");
    CHECK(repeated.at("run") == "may_have_run");
    CHECK(desk->runs("k9") == 1);
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, engine breaks off in the middle, reads the complete text once")
{
    first->breakAfter(3);
    second->breakAfter(4);
    std::string prompt = "p";
    const httplib::Result reply = caller(0).Post("/v1/chat/completions", chatBody(prompt, 6, true), "application/json");
    REQUIRE(reply);
    CHECK(textOf(reply->body) == EngineStandIn::answerText(prompt, 6));
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, all engines break off, gets a truncated stream and never a complete one")
{
    first->breakAfter(1);
    second->breakAfter(1);
    std::string received;
    const httplib::Result reply
        = caller(0).Post("/v1/chat/completions", httplib::Headers{}, chatBody("p", 50, true), "application/json");
    CHECK(!reply);
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, disconnects in the middle of a stream, engine run is cancelled")
{
    first->holdAt(2);
    second->holdAt(2);
    std::thread reader([&] {
        httplib::Client client = caller(0);
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.body = chatBody("p", 50, true);
        request.content_receiver = [](const char *, std::size_t, std::uint64_t, std::uint64_t) { return false; };
        client.send(request);
    });
    reader.join();
    CHECK(eventually([&] { return daemons[0]->requestsInProgress() == 0; }));
    first->holdAt(std::nullopt);
    second->holdAt(std::nullopt);
    CHECK(eventually([&] { return first->cancelled() + second->cancelled() == 1; }));
    CHECK(first->tokensProduced() + second->tokensProduced() < 50);
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, slow reader of one stream, does not delay another stream")
{
    const std::string body = chatBody("slow", 100'000, true);
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in native = toNative(addresses[0].entry);
    REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) == 0);
    const std::string request
        = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer shop-key\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    CHECK(eventually([&] { return first->running() + second->running() == 1; }));
    const httplib::Result other = caller(0).Post("/v1/chat/completions", chatBody("quick", 5, true), "application/json");
    REQUIRE(other);
    CHECK(textOf(other->body) == EngineStandIn::answerText("quick", 5));
    close(descriptor);
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, many concurrent callers with different prompts, each reads its own answer")
{
    constexpr int callers = 32;
    std::vector<std::thread> threads;
    std::atomic<int> right{ 0 };
    for (int index = 0; index < callers; ++index) {
        threads.emplace_back([&, index] {
            const std::string prompt = "prompt-" + std::to_string(index);
            const httplib::Result reply = caller(0).Post("/v1/chat/completions", chatBody(prompt, 20, true), "application/json");
            right += reply && textOf(reply->body) == EngineStandIn::answerText(prompt, 20) ? 1 : 0;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(right == callers);
}

TEST_CASE_FIXTURE(CallerFixture, "Caller, engine reports that it leaves, gets no new request once the report has arrived")
{
    first->setLeaving(true);
    REQUIRE(eventually([&] {
        const std::shared_ptr<const RoutingSnapshot> snapshot = daemons[0]->board().routing.read();
        return std::any_of(snapshot->upstreams.begin(), snapshot->upstreams.end(),
                           [](const UpstreamView &view) { return view.leaving == LeavingSignal::OwnReport; });
    }));
    const unsigned before = first->started();
    for (int index = 0; index < 10; ++index) {
        CHECK(caller(0).Post("/v1/chat/completions", chatBody("x" + std::to_string(index), 1, false), "application/json")->status
              == 200);
    }
    CHECK(first->started() == before);
}

TEST_CASE_FIXTURE(CallerFixture, "Operator, admin listener, requires the operator key and refuses a caller's key")
{
    httplib::Client client("127.0.0.1", addresses[0].admin.port);
    CHECK(client.Get("/admin/status")->status == 401);
    client.set_bearer_token_auth("shop-key");
    CHECK(client.Get("/admin/status")->status == 401);
    client.set_bearer_token_auth("operator-key-for-tests");
    CHECK(client.Get("/admin/status")->status == 200);
    CHECK(client.Get("/metrics")->body.find("portpaddle_requests_total") != std::string::npos);
}
