// Prints the event catalogue, the contents of docs/EVENTS.md.

#include "adapters/events/event_catalogue.hpp"

#include <iostream>

int main()
{
    roseworks::events::write_catalogue(std::cout);
    return std::cout.flush() ? 0 : 1;
}
