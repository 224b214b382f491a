// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/load_digest.h"

namespace Portpaddle {

std::vector<std::uint8_t> encodeDigest(const Wire::LoadDigestT &digest)
{
    flatbuffers::FlatBufferBuilder builder(largestLoadDatagram);
    builder.Finish(Wire::LoadDigest::Pack(builder, &digest));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

Result<Wire::LoadDigestT> decodeDigest(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() > largestLoadDatagram) {
        return Error{ ErrorCode::BadRequest, "load digest is too large", RunState::NotRun, {} };
    }
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<Wire::LoadDigest>(nullptr)) {
        return Error{ ErrorCode::BadRequest, "load digest is malformed", RunState::NotRun, {} };
    }
    Wire::LoadDigestT digest;
    flatbuffers::GetRoot<Wire::LoadDigest>(bytes.data())->UnPackTo(&digest);
    const bool bounded = digest.upstreams.size() <= mostDigestUpstreams && digest.placed.size() <= mostDigestParts
        && digest.services.size() <= mostDigestServices;
    if (!bounded) {
        return Error{ ErrorCode::BadRequest, "load digest has too many entries", RunState::NotRun, {} };
    }
    return digest;
}

} // namespace Portpaddle
