#include "tests/golden/session.hpp"

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

/// Plays the session of a file and prints its transcript.
int main(int count, char** arguments)
{
    if (count != 2)
    {
        std::cerr << "usage: golden-sessions SESSION_FILE\n";
        return 2;
    }
    std::ifstream in(arguments[1]);
    if (!in)
    {
        std::cerr << "can't read " << arguments[1] << '\n';
        return 2;
    }
    const std::string script{std::istreambuf_iterator<char>(in), {}};
    try
    {
        std::cout << roseworks::golden::play(script);
    }
    catch (const std::exception& error)
    {
        std::cerr << arguments[1] << ": " << error.what() << '\n';
        return 1;
    }
    return 0;
}
