#include "tools/ctl/router_wait.hpp"

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <ostream>
#include <thread>
#include <vector>

namespace roseworks::tools
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds poll_interval{20};
constexpr milliseconds call_limit{2000};

/// Offset in a router's `/state`; 0 when it has none.
log_offset offset_in(const std::string& body)
{
    json::error_code error;
    const json::value parsed = json::parse(body, error);
    const json::object* const object = error ? nullptr : parsed.if_object();
    const json::value* const field =
        object == nullptr ? nullptr : object->if_contains("offset");
    if (field == nullptr || !field->is_number())
    {
        return {};
    }
    const auto offset = field->to_number<std::uint64_t>(error);
    return error ? log_offset() : log_offset(offset);
}

log_offset folded_by(
    const endpoint& router,
    milliseconds limit,
    const tls::context_source* secured)
{
    http_request request;
    request.target = "/state";
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<log_offset>
        {
            BOOST_LEAF_AUTO(reply, http_call(router, request, limit, secured));
            return offset_in(reply.body);
        },
        []
        {
            return log_offset();
        });
}

} // namespace

bool wait_for_routers(
    std::span<const endpoint> routers,
    log_offset offset,
    milliseconds limit,
    const tls::context_source* secured,
    std::ostream& out)
{
    const auto start = steady_clock::now();
    const auto passed = [start]
    {
        return std::chrono::duration_cast<milliseconds>(
            steady_clock::now() - start);
    };
    std::vector<endpoint> waiting(routers.begin(), routers.end());
    while (true)
    {
        std::erase_if(
            waiting,
            [&](const endpoint& router)
            {
                const bool there =
                    folded_by(router, call_limit, secured) >= offset;
                if (there)
                {
                    out << "in force at " << router << " after "
                        << passed().count() << " ms\n";
                }
                return there;
            });
        if (waiting.empty() || passed() >= limit)
        {
            break;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    for (const endpoint& router : waiting)
    {
        out << "not in force at " << router << " after " << passed().count()
            << " ms\n";
    }
    return waiting.empty();
}

} // namespace roseworks::tools
