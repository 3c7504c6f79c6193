// Prints the settings reference: the contents of docs/SETTINGS.md, or of
// docs/SETTINGS-gateway.md with the argument `gateway`.

#include "adapters/settings/load_gateway_settings.hpp"
#include "adapters/settings/write_reference.hpp"

#include <iostream>
#include <string_view>

int main(int argc, char** argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "gateway")
        std::cout << roseworks::settings::gateway_reference();
    else
        roseworks::settings::write_reference(std::cout);
    return std::cout.flush() ? 0 : 1;
}
