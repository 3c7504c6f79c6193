#include "forward_fixture.hpp"

#include <chrono>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;
using namespace std::chrono_literals;

namespace
{

void answer_all(backend_peer& peer)
{
    while (!peer.read_request().empty())
        peer.send(ok_response);
}

bool is_served(const std::string& response)
{
    return response.starts_with("HTTP/1.1 200 ") &&
           response.ends_with("hello");
}

/// @return The response of a router that reaches no server itself and knows one
///         that does.
std::string exchange_while_cut_off(cut how, std::string_view target)
{
    fake_backend server(answer_all);
    forward_fixture other({&server});
    forward_fixture test({&server});
    test.know_router(other);
    test.direct.network = how;
    return test.exchange(test.request("POST", target));
}

} // namespace

Test(cut_off_routers, serve_their_callers_when_connections_are_refused)
{
    for (const char* target : {"/once/1", "/again/1"})
    {
        const std::string response =
            exchange_while_cut_off(cut::refusing, target);
        cr_assert(is_served(response), "%s: %s", target, response.c_str());
    }
}

Test(cut_off_routers, serve_their_callers_when_connections_hang)
{
    for (const char* target : {"/once/1", "/again/1"})
    {
        const std::string response =
            exchange_while_cut_off(cut::silent, target);
        cr_assert(is_served(response), "%s: %s", target, response.c_str());
    }
}
