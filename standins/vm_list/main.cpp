// Stand-in of the platform's lagging list of VMs.

#include "standins/common/fault_switch.hpp"
#include "standins/common/json_fields.hpp"
#include "standins/common/lagged.hpp"
#include "standins/common/program.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <utility>

namespace roseworks::standins
{

namespace
{

using vm_map = std::map<std::string, json::object>;

const json::array& array_field(const json::object& object, const char* name)
{
    static const json::array none;
    const json::value* const value = object.if_contains(name);
    if (value == nullptr)
    {
        return none;
    }
    if (!value->is_array())
    {
        throw bad_request(std::string(name) + " is not an array");
    }
    return value->get_array();
}

void require_one_of(
    const json::object& vm,
    const char* field,
    std::string_view first,
    std::string_view second)
{
    const std::string value = string_field(vm, field);
    if (value != first && value != second)
    {
        throw bad_request(std::string(field) + " can't be " + value);
    }
}

/// Checks one VM and puts it in.
void put_vm(vm_map& vms, const json::value& value)
{
    if (!value.is_object())
    {
        throw bad_request("a VM is not an object");
    }
    const json::object& vm = value.get_object();
    const std::string name = string_field(vm, "vm");
    if (name.empty() || string_field(vm, "address").empty())
    {
        throw bad_request("a VM needs vm and address");
    }
    require_one_of(vm, "role", "router", "backend");
    require_one_of(vm, "state", "live", "leaving");
    vms.insert_or_assign(name, vm);
}

void remove_vm(vm_map& vms, const json::value& name)
{
    if (!name.is_string())
    {
        throw bad_request("a VM's name is not a string");
    }
    vms.erase(std::string(name.get_string().c_str()));
}

class vm_list_service : public service
{
public:
    explicit vm_list_service(vm_map first)
        : vms(std::move(first))
        , faults({fault::up, fault::down})
    {
    }

private:
    void control(const json::object& command) override;
    [[nodiscard]] json::object ledger() const override;
    asio::awaitable<void> serve(exchange& call) override;

    lagged<vm_map> vms;
    fault_switch faults;
    std::uint64_t reads = 0;
    std::uint64_t unchanged = 0; ///< reads answered without the list
};

void vm_list_service::control(const json::object& command)
{
    const std::uint64_t lag_ms = number_field(
        command, "lag_ms", static_cast<std::uint64_t>(this->vms.lag().count()));
    vm_map changed = this->vms.newest();
    for (const json::value& vm : array_field(command, "put"))
    {
        put_vm(changed, vm);
    }
    for (const json::value& name : array_field(command, "remove"))
    {
        remove_vm(changed, name);
    }
    this->faults.apply(command);
    this->vms.set_lag(std::chrono::milliseconds(lag_ms));
    this->vms.set(std::move(changed));
}

json::object vm_list_service::ledger() const
{
    json::object result;
    result["reads"] = this->reads;
    result["unchanged"] = this->unchanged;
    result["vms"] = this->vms.newest().size();
    return result;
}

asio::awaitable<void> vm_list_service::serve(exchange& call)
{
    if (!call.is(http::verb::get, "/v1/vms"))
    {
        co_await send_not_found(call);
        co_return;
    }
    ++this->reads;
    if (this->faults.is(fault::down))
    {
        co_await send_error(call, 503, "down");
        co_return;
    }
    json::array listed;
    for (const auto& [name, vm] : this->vms.seen())
    {
        listed.emplace_back(vm);
    }
    json::object body;
    body["vms"] = std::move(listed);
    const std::string text = json::serialize(body);
    const std::string version =
        '"' + std::to_string(std::hash<std::string>()(text)) + '"';
    call.set_header("ETag", version);
    if (call.header("If-None-Match") == version)
    {
        ++this->unchanged;
        co_await call.send_bytes(304, "application/json", "");
        co_return;
    }
    co_await call.send_json(200, std::move(body));
}

vm_map read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw bad_request("can't read " + path);
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const json::value parsed = json::parse(text);
    if (!parsed.is_object())
    {
        throw bad_request(path + " is not a JSON object");
    }
    vm_map vms;
    for (const json::value& vm : array_field(parsed.get_object(), "vms"))
    {
        put_vm(vms, vm);
    }
    return vms;
}

} // namespace

} // namespace roseworks::standins

int main(int argc, char** argv)
{
    using namespace roseworks::standins;
    cxxopts::Options options =
        make_options("standin-vm-list", "Lagging list of VMs");
    options.add_options()(
        "file", "JSON file to start with, as /v1/vms answers", text_value(""));
    return run_program(
        argc,
        argv,
        options,
        "listen",
        [](const cxxopts::ParseResult& arguments)
        {
            const std::string path = arguments["file"].as<std::string>();
            return std::make_unique<vm_list_service>(
                path.empty() ? vm_map() : read_file(path));
        });
}
