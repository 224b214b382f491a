// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/link/handshake.h"

#include "portpaddle/base/digest.h"
#include "portpaddle/link/link_frame.h"

#include <openssl/rand.h>

namespace Portpaddle {

namespace {

constexpr std::size_t nonceLength = 16;

std::vector<std::uint8_t> newNonce()
{
    std::vector<std::uint8_t> nonce(nonceLength);
    RAND_bytes(nonce.data(), static_cast<int>(nonce.size()));
    return nonce;
}

/// Returns the proof of @p signer. The role is part of it, so that a proof cannot be reflected to the side that made it.
std::vector<std::uint8_t> proof(std::string_view clusterKey, std::string_view role, const std::vector<std::uint8_t> &challenge,
                                const std::vector<std::uint8_t> &answer, const PeerIdentity &signer)
{
    std::string text(role);
    text.append(challenge.begin(), challenge.end());
    text.append(answer.begin(), answer.end());
    text.append(signer.node).append(1, '\0').append(signer.dataCentre);
    const MessageCode code = messageCode(clusterKey, text);
    return { code.begin(), code.end() };
}

bool sameBytes(const std::vector<std::uint8_t> &left, const std::vector<std::uint8_t> &right)
{
    const auto view = [](const std::vector<std::uint8_t> &bytes) {
        return std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    };
    return equalInConstantTime(view(left), view(right));
}

constexpr std::string_view connectingRole = "connecting";
constexpr std::string_view acceptingRole = "accepting";

} // namespace

std::optional<PeerIdentity> acceptHandshake(FrameSocket &socket, const PeerIdentity &self, std::string_view clusterKey)
{
    Wire::ChallengeT challenge;
    challenge.nonce = newNonce();
    if (!socket.write(frameOf(challenge))) {
        return std::nullopt;
    }
    const std::optional<Wire::LinkFrameT> frame = socket.read(maxHandshakeFrameBytes);
    const Wire::HelloT *hello = frame ? frame->body.AsHello() : nullptr;
    if (hello == nullptr || hello->nonce.size() != nonceLength) {
        return std::nullopt;
    }
    PeerIdentity peer{ hello->node, hello->data_centre };
    if (!sameBytes(hello->proof, proof(clusterKey, connectingRole, challenge.nonce, hello->nonce, peer))) {
        return std::nullopt;
    }
    Wire::WelcomeT welcome;
    welcome.node = self.node;
    welcome.data_centre = self.dataCentre;
    welcome.proof = proof(clusterKey, acceptingRole, hello->nonce, challenge.nonce, self);
    return socket.write(frameOf(welcome)) ? std::optional{ peer } : std::nullopt;
}

std::optional<PeerIdentity> offerHandshake(FrameSocket &socket, const PeerIdentity &self, std::string_view clusterKey)
{
    const std::optional<Wire::LinkFrameT> first = socket.read(maxHandshakeFrameBytes);
    const Wire::ChallengeT *challenge = first ? first->body.AsChallenge() : nullptr;
    if (challenge == nullptr || challenge->nonce.size() != nonceLength) {
        return std::nullopt;
    }
    Wire::HelloT hello;
    hello.node = self.node;
    hello.data_centre = self.dataCentre;
    hello.nonce = newNonce();
    hello.proof = proof(clusterKey, connectingRole, challenge->nonce, hello.nonce, self);
    if (!socket.write(frameOf(hello))) {
        return std::nullopt;
    }
    const std::optional<Wire::LinkFrameT> second = socket.read(maxHandshakeFrameBytes);
    const Wire::WelcomeT *welcome = second ? second->body.AsWelcome() : nullptr;
    if (welcome == nullptr) {
        return std::nullopt;
    }
    PeerIdentity peer{ welcome->node, welcome->data_centre };
    const bool proved = sameBytes(welcome->proof, proof(clusterKey, acceptingRole, hello.nonce, challenge->nonce, peer));
    return proved ? std::optional{ peer } : std::nullopt;
}

} // namespace Portpaddle
