// Prints the catalogue of events, docs/EVENTS.md.

#include "adapters/events/event_catalogue.hpp"

#include <iostream>

int main()
{
    roseworks::events::write_catalogue(std::cout);
    return std::cout.flush() ? 0 : 1;
}
