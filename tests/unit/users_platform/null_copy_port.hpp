#pragma once

#include "ports/directory_copy_port.hpp"

namespace roseworks::users_platform::tests
{

/// Answers every request for a copy with nothing.
class null_copy_port final : public directory_copy_port
{
public:
    void serve(directory_copy_source&) override {}

    void fetch(std::string_view, const copy_request&, copy_done done) override
    {
        done(std::nullopt);
    }

    void data_changed() override {}
    void stop() override {}
};

} // namespace roseworks::users_platform::tests
