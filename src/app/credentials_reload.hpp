#pragma once

#include "adapters/platform/credentials.hpp"
#include "app/file_watch.hpp"
#include "ports/event_sink.hpp"

#include <functional>
#include <string>

namespace roseworks::app
{

/** Make what a watch does with the file of engines' credentials.

    @param file     Empty: nothing is read.
    @param current  What it held at the start.
    @param replaced Told of new credentials.
    @param events   Told of a file that can't be used.
    @return         The handlers of a `file_watch`.
*/
file_watch::handlers watch_credentials(
    std::string file,
    platform::credentials current,
    std::function<void(const platform::credentials&)> replaced,
    event_sink& events);

} // namespace roseworks::app
