// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Heads of answers to blocking calls, of the store and of other daemons, that are longer than any that these send.

#include "platform/store_client.h"
#include "portpaddle/store_following/state_exchange.h"
#include "support/scripted_upstream.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

const std::string longText(200'000, 'x');

ScriptedUpstream peerThatAnswers(const std::string &answer)
{
    return ScriptedUpstream([answer](const SeenRequest &) { return ScriptedAnswer{ answer, ScriptedAnswer::Then::Close }; });
}

const std::vector<std::string> longHeads{
    "HTTP/1.1 200 " + longText + "\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nX-Long: " + longText + "\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;" + longText + "\r\n{}\r\n0\r\n\r\n",
};

} // namespace

TEST_CASE("Long line in the head, of the store's answer, is an unavailable store and does not overflow the stack")
{
    for (const std::string &head : longHeads) {
        CAPTURE(head.substr(0, 32));
        const ScriptedUpstream store = peerThatAnswers(head);
        const std::string address = store.address();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        StoreClient client(SocketAddress{ "127.0.0.1", port });
        std::optional<Result<std::uint64_t>> newest;
        Thread thread("call", [&] { newest = client.newestRevision(ReadFreshness::MayBeStale); });
        thread.join();
        REQUIRE(newest.has_value());
        REQUIRE_FALSE(isOk(*newest));
        CHECK(errorOf(*newest).code == ErrorCode::PlatformUnavailable);
    }
}

TEST_CASE("Long line in the head, of a neighbour's state, is no state and does not overflow the stack")
{
    for (const std::string &head : longHeads) {
        CAPTURE(head.substr(0, 32));
        const ScriptedUpstream neighbour = peerThatAnswers(head);
        const PeerStateClient client([&neighbour] { return std::vector<std::string>{ neighbour.address() }; });
        bool found = true;
        Thread thread("call", [&] { found = isOk(client.fetch()); });
        thread.join();
        CHECK_FALSE(found);
    }
}
