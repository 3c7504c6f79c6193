#include "standins/engine/execution_ledger.hpp"

#include <boost/json/object.hpp>

#include <utility>

namespace roseworks::standins
{

void execution_ledger::begin(const std::string& request_id)
{
    ++this->requests[request_id].begun;
}

void execution_ledger::complete(const std::string& request_id)
{
    ++this->requests[request_id].completed;
}

void execution_ledger::cancel(const std::string& request_id)
{
    ++this->requests[request_id].cancelled;
}

boost::json::array execution_ledger::to_json() const
{
    boost::json::array result;
    for (const auto& [request_id, count] : this->requests)
    {
        boost::json::object item;
        item["request_id"] = request_id;
        item["count"] = count.begun;
        item["completed"] = count.completed;
        item["cancelled"] = count.cancelled;
        result.emplace_back(std::move(item));
    }
    return result;
}

} // namespace roseworks::standins
