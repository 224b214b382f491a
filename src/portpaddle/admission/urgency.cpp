// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/admission/urgency.h"

#include "portpaddle/base/name_table.h"

namespace Portpaddle {

namespace {

constexpr NameTable<Urgency, urgencyCount> urgencyNames{ { "urgent", "usual", "patient", "late" } };

} // namespace

std::string_view nameOf(Urgency urgency)
{
    return urgencyNames[urgency];
}

} // namespace Portpaddle
