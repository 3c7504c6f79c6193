#include "tests/golden/session.hpp"

#include <roseworks/codec.hpp>
#include <roseworks/record_text.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <charconv>
#include <stdexcept>
#include <utility>

namespace roseworks::golden
{

namespace
{

namespace leaf = boost::leaf;

constexpr author_id operators{1};

std::uint64_t parse_number(const std::string& word)
{
    std::uint64_t value = 0;
    const char* end = word.data() + word.size();
    const auto read = std::from_chars(word.data(), end, value);
    if (read.ec != std::errc() || read.ptr != end)
    {
        throw std::runtime_error("not a number: " + word);
    }
    return value;
}

desired_fleet parse_text(const std::string& text)
{
    return leaf::try_handle_all(
        [&]
        {
            return parse_records(text);
        },
        [](const text_problems& problems) -> desired_fleet
        {
            throw std::runtime_error(to_string(problems.all.front()));
        },
        []() -> desired_fleet
        {
            throw std::runtime_error("the records can't be read");
        });
}

} // namespace

duration parse_duration(const std::string& word)
{
    if (word.ends_with("ms"))
    {
        return std::chrono::milliseconds(
            parse_number(word.substr(0, word.size() - 2)));
    }
    if (word.ends_with("s"))
    {
        return std::chrono::seconds(
            parse_number(word.substr(0, word.size() - 1)));
    }
    throw std::runtime_error("not a time: " + word);
}

void session::perform(const step& what)
{
    const std::string& command = what.word(0);
    const std::string& name = what.word(1);
    this->write("step", what.source);
    if (command == "engine")
        this->add_engine(what);
    else if (command == "router")
        this->add_router(what);
    else if (command == "plan")
        this->make_plan_of(what);
    else if (command == "publish")
        this->publish(name);
    else if (command == "records")
    {
        this->make_plan_of(what);
        this->publish(name);
    }
    else if (command == "request")
        this->request(what);
    else if (command == "run")
        this->run(parse_duration(name));
    else if (command == "kill")
        this->kill(this->find_router(name));
    else if (command == "restart")
        this->start(this->find_router(name));
    else if (command == "pause")
        this->routers[this->find_router(name)]->paused = true;
    else if (command == "resume")
        this->resume(this->find_router(name));
    else if (command == "hold_orders")
        this->routers[this->find_router(name)]->hold_orders = true;
    else if (command == "release_orders")
        this->release_orders(this->find_router(name));
    else if (command == "lose_append")
        this->routers[this->find_router(name)]->loses_append = true;
    else if (command == "log")
        this->log_down = name == "down";
    else if (command == "crash_engine")
        this->crash_engine(name);
    else if (command == "vm_gone")
        this->vms.erase(name);
    else
        throw std::runtime_error(
            "line " + std::to_string(what.line) + ": no step " + command);
}

/// The engine's process; its record is an operator's.
void session::add_engine(const step& what)
{
    test::fake_engine::options options;
    options.memory_mib =
        static_cast<std::uint32_t>(parse_number(what.value("memory", "40960")));
    options.fencing = what.value("fencing") == "ignores" ? fencing_kind::ignores
                                                         : fencing_kind::checks;
    options.load_time = parse_duration(what.value("load", "2s"));
    this->engine_options[what.word(1)] = options;
}

void session::add_router(const step& what)
{
    const std::string& name = what.word(1);
    this->routers.push_back(std::make_unique<router>());
    this->routers.back()->name = name;
    this->vms[name] = {name, "127.0.0.1:1", "dc", true, false};
    this->start(this->routers.size() - 1);
}

void session::make_plan_of(const step& what)
{
    const plan made =
        make_plan(this->folded, parse_text(what.text), plan_options{});
    for (const std::string& problem : made.problems)
    {
        this->write(what.word(1), "problem: " + problem);
    }
    for (const planned_change& change : made.changes)
    {
        this->write(
            what.word(1),
            "plans to " + std::string(to_string(change.action)) + " " +
                std::string(to_string(change.change.kind)) + " " +
                change.change.name);
    }
    this->planned[what.word(1)] = made.entity_changes();
}

void session::publish(const std::string& author)
{
    config_change change;
    change.author = author;
    change.changes = this->planned.at(author);
    record value;
    value.id = {operators, 1, ++this->operator_records};
    value.stamp = this->wall();
    value.payload = std::move(change);
    this->append(encode(value));
    for (const auto& [name, options] : this->engine_options)
    {
        const engine_id id = this->folded.find_engine(name);
        if (!id || this->engines.contains(id))
        {
            continue;
        }
        this->engines[id] = std::make_unique<test::fake_engine>(options);
        const engine_spec& spec = *this->folded.engine(id)->spec;
        this->vms[spec.vm] = {
            spec.vm, spec.address, spec.data_centre, false, false};
    }
}

void session::request(const step& what)
{
    const std::size_t index = this->find_router(what.word(1));
    call item;
    item.number = ++this->calls_made;
    item.target = what.word(2);
    item.key.low = parse_number(what.value("key", "0"));
    item.work = parse_duration(what.value("work", "200ms"));
    item.content = fingerprint(item.number);
    const bool once = what.words.back() == "once";
    const duration deadline = parse_duration(what.value("deadline", "30s"));
    this->submit(index, std::move(item), deadline, once);
    this->pump(index);
}

void session::kill(std::size_t index)
{
    router& target = *this->routers[index];
    target.alive = false;
    target.held_orders.clear();
    for (const auto& [number, item] : target.calls)
    {
        this->write(
            target.name,
            "call " + std::to_string(item.number) + " CONNECTION CLOSED");
    }
    target.calls.clear();
    target.granted.clear();
    target.claiming.clear();
}

void session::resume(std::size_t index)
{
    router& target = *this->routers[index];
    target.paused = false;
    const std::vector<action> waiting = std::exchange(target.deferred, {});
    for (const action& what : waiting)
    {
        what();
        this->pump(index);
    }
}

void session::release_orders(std::size_t index)
{
    router& target = *this->routers[index];
    target.hold_orders = false;
    const std::vector<action> waiting = std::exchange(target.held_orders, {});
    for (const action& what : waiting)
    {
        what();
    }
}

void session::crash_engine(const std::string& name)
{
    const engine_id id = this->folded.find_engine(name);
    this->engines.at(id)->restart(this->time);
    for (std::size_t index = 0; index < this->routers.size(); ++index)
    {
        for (const auto& [request, item] : this->routers[index]->calls)
        {
            if (item.engine != id)
            {
                continue;
            }
            this->to_router(
                index,
                std::chrono::milliseconds(1),
                [this, index, request = request, attempt = item.attempt]
                {
                    this->attempt_over(
                        index, request, attempt, attempt_result::end::broken);
                });
        }
    }
}

} // namespace roseworks::golden
