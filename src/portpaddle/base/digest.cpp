// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/digest.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <memory>

namespace Portpaddle {

Sha256Digest sha256OfParts(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        const std::uint64_t length = part.size();
        EVP_DigestUpdate(context.get(), &length, sizeof length);
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    Sha256Digest digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return digest;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int index = 0; index < length; ++index) {
        hex += fmt::format("{:02x}", digest[index]);
    }
    return hex;
}

MessageCode messageCode(std::string_view key, std::string_view message)
{
    MessageCode code{};
    unsigned int length = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(message.data());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, message.size(), code.data(), &length);
    return code;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Portpaddle
