#pragma once

#include "adapters/metrics/label_set.hpp"
#include "core/admission/receive_budget.hpp"

#include <array>
#include <string_view>

namespace roseworks::metrics
{

template <>
struct label_traits<receive_limit>
{
    static constexpr std::string_view name = "limit";
    static constexpr std::array<std::string_view, receive_limit_count> values =
        {"header", "framing", "body", "memory", "displaced", "place"};
};

} // namespace roseworks::metrics
