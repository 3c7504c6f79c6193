#pragma once

#include "tools/common/http_call.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks::tools
{

/// The processes that the demo talks to, and what was declared.
struct demo_fleet
{
    std::vector<endpoint> routers;
    std::vector<endpoint> engines;
    endpoint service;      ///< stand-in behind both plain services
    endpoint weight_store; ///< for its ledger only
    std::string model;     ///< declared, not loaded
    std::uint64_t max_replicas = 0;
    std::uint64_t store_slots = 0;
    std::string once_service;       ///< plain service, not repeatable
    std::string repeatable_service; ///< plain service, repeatable
};

/// Promises that broke, by name.
class promise_check
{
public:
    /// Notes the promise as broken unless it holds.
    void require(bool holds, std::string promise);

    const std::vector<std::string>& broken() const
    {
        return this->names;
    }

private:
    std::vector<std::string> names;
};

/// @return A stand-in's ledger; empty when it can't be read.
boost::json::object read_ledger(const endpoint& standin);

/// @return The JSON object; empty when the text is none.
boost::json::object parse_object(std::string_view text);

/// @return A number of an object; 0 when it has none of that name.
std::uint64_t
number_in(const boost::json::object& object, std::string_view name);

} // namespace roseworks::tools
