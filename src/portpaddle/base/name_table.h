// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Tables of the stable names of enumerators.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Portpaddle {

/// The names of the enumerators of @p Enum, whose values must be consecutive from zero.
template<typename Enum, std::size_t Count>
struct NameTable
{
    std::array<std::string_view, Count> names;

    constexpr std::string_view operator[](Enum value) const
    {
        return names.at(static_cast<std::size_t>(value));
    }

    constexpr std::optional<Enum> find(std::string_view name) const
    {
        for (std::size_t index = 0; index < Count; ++index) {
            if (names[index] == name) {
                return static_cast<Enum>(index);
            }
        }
        return std::nullopt;
    }
};

} // namespace Portpaddle
