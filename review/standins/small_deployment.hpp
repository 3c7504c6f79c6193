// A small deployment: the platform's store, gateways and one service `app`.
#pragma once

#include "review/standins/harness.hpp"
#include "tests/support/platform_store.hpp"

#include <string>
#include <vector>

namespace review
{

/// @return What a sound replica answers.
std::string good_answer(const std::string& id);

/// @return Whether a caller may take the answer as the success of its request.
bool is_good_answer(const message& answer, const std::string& id);

/// @return A client's POST.
std::string request_for(
    const std::string& path, const std::string& id, const std::string& body);

class small_deployment
{
public:
    /// @param arguments The program of the gateway, the case's folder and a
    ///                  temporary folder.
    small_deployment(int count, char** arguments);

    void add_server(server::handler answer);

    /// Writes configuration and servers into the store and starts gateways.
    /// @return Whether all are ready and serve.
    bool start(int gateway_count);

    record log;
    roseworks::test::platform_store store{1};
    std::vector<std::unique_ptr<server>> servers;
    std::vector<std::unique_ptr<gateway>> gateways;

private:
    bool serves(const gateway& one) const;

    std::string program;
    std::string folder;
};

} // namespace review
