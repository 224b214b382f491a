// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// JSON encoding of the platform's types for its HTTP protocol.
#pragma once

#include "portpaddle/interfaces/platform.h"

#include <nlohmann/json.hpp>

namespace Portpaddle {

nlohmann::json toJson(const KeyValue &value);
KeyValue keyValueFromJson(const nlohmann::json &json);
nlohmann::json toJson(const VmEntry &entry);
VmEntry vmFromJson(const nlohmann::json &json);
nlohmann::json toJson(const Error &error);
Error errorFromJson(const nlohmann::json &json);

} // namespace Portpaddle
