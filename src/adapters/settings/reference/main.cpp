// Prints the reference of the settings, docs/SETTINGS.md.

#include "adapters/settings/write_reference.hpp"

#include <iostream>

int main()
{
    roseworks::settings::write_reference(std::cout);
    return std::cout.flush() ? 0 : 1;
}
