#pragma once

#include <boost/json/array.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace roseworks::standins
{

/// Which requests really ran, and how often.
class execution_ledger
{
public:
    /// The engine starts to work on a request.
    void begin(const std::string& request_id);

    void complete(const std::string& request_id);
    void cancel(const std::string& request_id);

    [[nodiscard]] boost::json::array to_json() const;

private:
    struct counts
    {
        std::uint64_t begun = 0;
        std::uint64_t completed = 0;
        std::uint64_t cancelled = 0;
    };

    std::map<std::string, counts> requests;
};

} // namespace roseworks::standins
