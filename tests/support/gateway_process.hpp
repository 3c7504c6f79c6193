#pragma once

#include "tests/support/child_process.hpp"

#include <filesystem>
#include <memory>
#include <string>

namespace roseworks::test
{

/// A gateway as a real process on loopback, and what it listens on.
class gateway_process
{
public:
    struct options
    {
        std::string name;
        std::string store; ///< ip:port of the platform's store
        std::string data_centre = "dc";
        unsigned memory_mb = 0; ///< of the VM; 0: that of the machine
    };

    explicit gateway_process(const options& settings);
    ~gateway_process();
    gateway_process(gateway_process&&) = delete;
    gateway_process& operator=(gateway_process&&) = delete;

    bool is_ready() const;

    /// @return ip:port where it accepts requests.
    const std::string& address() const
    {
        return this->requests;
    }

    /// @return ip:port where a load balancer asks whether it is ready.
    const std::string& readiness_address() const
    {
        return this->readiness;
    }

    /// @return ip:port of its metrics.
    const std::string& metrics_address() const
    {
        return this->metrics;
    }

    child_process& program()
    {
        return *this->process;
    }

    /// @return The status that a request of this path gets.
    unsigned ask(const std::string& path) const;

private:
    std::string requests;
    std::string readiness;
    std::string metrics;
    std::filesystem::path settings_file;
    std::unique_ptr<child_process> process;
};

} // namespace roseworks::test
