#pragma once

#include "core/crashes/archived_block.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace roseworks
{

/// Port: what outlives the processes of all routers of requests, and parts of
/// prompts, that crash backend servers. Used on the control thread.
class crash_archive_port
{
public:
    virtual ~crash_archive_port() = default;

    /// Reads all blocks, again and again until it succeeds.
    /// @param on_read Called once, on the control thread; not after `stop`.
    virtual void
    read(std::function<void(std::vector<archived_block>)> on_read) = 0;

    /// Replaces the block of a subject. Written in the background, until it
    /// succeeds or a later call replaces it.
    virtual void write(const archived_block& block) = 0;

    virtual void remove(std::uint64_t subject) = 0;

    virtual void stop() = 0;
};

} // namespace roseworks
