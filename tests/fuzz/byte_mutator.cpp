// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "fuzz/byte_mutator.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Portpaddle {

namespace {

constexpr std::size_t maxDamages = 4;
constexpr std::size_t unchangedOneIn = 64;
constexpr std::size_t maxPart = 64;
constexpr std::size_t maxRepeats = 200;

/// The way in which a message is damaged.
enum class Damage { FlipBit, SetByte, Insert, Number, Token, Part, Splice, Truncate };
constexpr std::size_t damages = 8;

constexpr std::array<const char *, 14> extremeNumbers{ "0",
                                                       "1",
                                                       "-1",
                                                       "65535",
                                                       "65536",
                                                       "2147483647",
                                                       "2147483648",
                                                       "4294967295",
                                                       "4294967296",
                                                       "9223372036854775807",
                                                       "18446744073709551615",
                                                       "99999999999999999999999",
                                                       "1e308",
                                                       "0.0000001" };
constexpr std::array<const char *, 22> tokens{ "\r\n",
                                               "\n",
                                               "\r",
                                               "\r\n\r\n",
                                               "\n\n",
                                               ": ",
                                               ",",
                                               ";",
                                               "chunked",
                                               "Content-Length: ",
                                               "Transfer-Encoding: chunked\r\n",
                                               "0\r\n\r\n",
                                               "ffffffffffffffff\r\n",
                                               "HTTP/1.1 ",
                                               "100 Continue",
                                               "{",
                                               "}",
                                               "[",
                                               "null",
                                               "\"",
                                               "id: 7\n",
                                               "data: x\n\n" };
constexpr std::array<char, 8> extremeBytes{ '\0', '\x01', '\x7f', '\x80', '\xff', '\r', '\n', ' ' };

} // namespace

ByteMutator::ByteMutator(std::uint64_t seed) : random_(seed)
{
}

std::size_t ByteMutator::below(std::size_t bound)
{
    return static_cast<std::size_t>(random_() % bound);
}

std::string ByteMutator::next(const std::vector<std::string> &corpus)
{
    std::string bytes = corpus[below(corpus.size())];
    if (below(unchangedOneIn) == 0) {
        return bytes;
    }
    const std::size_t count = 1 + below(maxDamages);
    for (std::size_t index = 0; index < count; ++index) {
        damage(bytes, corpus);
    }
    return bytes;
}

void ByteMutator::damage(std::string &bytes, const std::vector<std::string> &corpus)
{
    if (bytes.empty()) {
        bytes = tokens[below(tokens.size())];
        return;
    }
    const std::size_t at = below(bytes.size());
    switch (static_cast<Damage>(below(damages))) {
    case Damage::FlipBit:
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
        break;
    case Damage::SetByte:
        bytes[at] = extremeBytes[below(extremeBytes.size())];
        break;
    case Damage::Insert:
        bytes.insert(at, 1 + below(maxPart), static_cast<char>(random_()));
        break;
    case Damage::Number:
        replaceNumber(bytes);
        break;
    case Damage::Token:
        bytes.insert(at, tokens[below(tokens.size())]);
        break;
    case Damage::Part:
        editPart(bytes);
        break;
    case Damage::Splice:
        splice(bytes, corpus[below(corpus.size())]);
        break;
    case Damage::Truncate:
        bytes.resize(at);
        break;
    }
}

void ByteMutator::replaceNumber(std::string &bytes)
{
    const auto isDigit = [](unsigned char byte) { return std::isdigit(byte) != 0; };
    const auto from = bytes.begin() + static_cast<std::ptrdiff_t>(below(bytes.size()));
    const auto begin = std::find_if(from, bytes.end(), isDigit);
    const auto end = std::find_if_not(begin, bytes.end(), isDigit);
    bytes.replace(begin, end, extremeNumbers[below(extremeNumbers.size())]);
}

void ByteMutator::editPart(std::string &bytes)
{
    const std::size_t at = below(bytes.size());
    const std::string part = bytes.substr(at, 1 + below(maxPart));
    const std::size_t way = below(3);
    if (way == 0) {
        bytes.erase(at, part.size());
    } else if (way == 1) {
        bytes.insert(below(bytes.size()), part);
    } else {
        std::string repeated;
        for (std::size_t count = 1 + below(maxRepeats); count > 0; --count) {
            repeated += part;
        }
        bytes.insert(at, repeated);
    }
}

void ByteMutator::splice(std::string &bytes, const std::string &other)
{
    bytes.resize(below(bytes.size()));
    bytes += other.substr(below(other.size() + 1));
}

} // namespace Portpaddle
