#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/test_certificate.hpp"

#include <csignal>
#include <fstream>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace roseworks::test;

namespace
{

const std::string model = "[model agri-lm]\nversion = 1\n"
                          "memory_mib = 16000\nmax_replicas = 1\n"
                          "min_replicas = 1\n";

const std::string prompt = "field-seven-prompt";

/// The certificates of a fleet whose legs all speak TLS, both ends verified.
struct certificates
{
    explicit certificates(const std::string& name)
        : servers(name + "-servers")
        , router(name + "-router")
        , known(name + "-known")
    {
        std::ofstream(this->known.certificate()) << this->router.text();
    }

    /// A section of the router's settings.
    std::string section(const std::string& of, const std::string& ca) const
    {
        return "[" + of + "]\nca_file = " + ca +
               "\ncertificate_file = " + this->router.certificate() +
               "\nkey_file = " + this->router.key() + "\n";
    }

    std::string all_sections() const
    {
        return this->section("backend_tls", this->servers.certificate()) +
               this->section("platform_tls", this->servers.certificate()) +
               "[tls]\ncertificate_file = " + this->servers.certificate() +
               "\nkey_file = " + this->servers.key() + "\n";
    }

    fleet_setup setup() const
    {
        fleet_setup wanted;
        wanted.routers = 1;
        wanted.proxies = true;
        wanted.engines = {{"e1", 40000, true, {"--token-ms", "20"}}};
        wanted.standin_tls = {
            "--tls-certificate",
            this->servers.certificate(),
            "--tls-key",
            this->servers.key(),
            "--tls-ca",
            this->known.certificate()};
        wanted.router_settings = this->all_sections();
        return wanted;
    }

    test_certificate servers;
    test_certificate router;
    test_certificate known; ///< whom the stand-ins accept
};

bool answers(const fleet& nodes, const certificates& with)
{
    return eventually(
        [&]
        {
            http_call call = completion("agri-lm", "warm");
            call.ca_file = with.servers.certificate();
            return send(nodes.router_address(0), call).status == 200;
        });
}

http_call long_stream()
{
    http_call call = completion("agri-lm", prompt);
    call.body = R"({"model":"agri-lm","stream":true,"max_tokens":200,)"
                R"("messages":[{"role":"user","content":")" +
                prompt + R"("}]})";
    return call;
}

std::uint64_t seen_at(const std::string& proxy)
{
    return get_json(proxy, "/ledger")
        .at("watched_seen")
        .to_number<std::uint64_t>();
}

/// The same call over TLS.
http_call over_tls(http_call call, const std::string& ca_file)
{
    call.ca_file = ca_file;
    return call;
}

const std::string watch = R"({"mode":"pass","watch":")" + prompt + R"("})";

} // namespace

Test(tls, all_legs_are_secured_and_no_eavesdropper_sees_a_prompt)
{
    const certificates files("legs");
    const fleet nodes(files.setup());
    cr_assert_eq(nodes.publish(model, "test").exit_code, 0);
    cr_assert(answers(nodes, files), "%s", nodes.router_log(0).c_str());
    cr_assert(control(nodes.engine_proxy(0), watch));
    cr_assert(control(nodes.service_proxy(0), watch));
    cr_assert(control(nodes.log_proxy(), watch));
    const std::string& ca = files.servers.certificate();
    const auto reply = send(
        nodes.router_address(0), over_tls(completion("agri-lm", prompt), ca));
    cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
    http_call call = dispatch("tls-1", "{\"note\":\"" + prompt + "\"}");
    const auto sent = send(nodes.router_address(0), over_tls(call, ca));
    cr_assert_eq(sent.status, 200U, "%s", sent.body.c_str());
    cr_assert_eq(runs_of_key(nodes.service_address(0), "tls-1"), 1U);
    cr_assert_eq(seen_at(nodes.engine_proxy(0)), 0U);
    cr_assert_eq(seen_at(nodes.service_proxy(0)), 0U);
    cr_assert_eq(seen_at(nodes.log_proxy()), 0U);
    cr_assert_eq(nodes.verify().exit_code, 0);
}

Test(tls, a_plain_leg_shows_the_prompt_to_an_eavesdropper)
{
    fleet_setup setup;
    setup.routers = 1;
    setup.proxies = true;
    setup.engines = {{"e1"}};
    const fleet nodes(setup);
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    cr_assert(control(nodes.engine_proxy(0), watch));
    const auto reply =
        send(nodes.router_address(0), completion("agri-lm", prompt));
    cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
    cr_assert_neq(seen_at(nodes.engine_proxy(0)), 0U);
}

Test(tls, a_service_that_another_authority_signed_gets_nothing)
{
    const certificates files("wrong");
    const test_certificate other("wrong-other");
    fleet_setup setup = files.setup();
    setup.router_settings =
        files.section("backend_tls", other.certificate()) +
        files.section("platform_tls", files.servers.certificate());
    const fleet nodes(setup);
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    const auto reply = send(nodes.router_address(0), dispatch("tls-2"));
    cr_assert(
        refused(reply, "not-run", "backend_failed"), "%s", reply.body.c_str());
    cr_assert_eq(runs_of_key(nodes.service_address(0), "tls-2"), 0U);
    const std::string log = nodes.router_log(0);
    cr_assert_neq(log.find("RW1013"), std::string::npos);
    cr_assert_neq(log.find("backend_tls.ca_file"), std::string::npos);
    cr_assert_neq(log.find(other.certificate()), std::string::npos);
}

Test(tls, a_router_without_a_certificate_runs_nothing_where_one_is_asked_for)
{
    const certificates files("stranger");
    fleet_setup setup = files.setup();
    setup.router_settings =
        "[backend_tls]\nca_file = " + files.servers.certificate() + "\n" +
        files.section("platform_tls", files.servers.certificate());
    const fleet nodes(setup);
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    const auto reply = send(nodes.router_address(0), dispatch("tls-3"));
    cr_assert_neq(reply.status, 200U);
    cr_assert_eq(runs_of_key(nodes.service_address(0), "tls-3"), 0U);
}

Test(tls, new_certificates_on_sighup_drop_no_stream)
{
    const certificates files("rotate");
    fleet nodes(files.setup());
    cr_assert_eq(nodes.publish(model, "test").exit_code, 0);
    cr_assert(answers(nodes, files), "%s", nodes.router_log(0).c_str());
    const std::string first = files.servers.text();
    http_reply streamed;
    std::thread caller(
        [&]
        {
            const test_certificate old("rotate-old");
            std::ofstream(old.certificate()) << first;
            streamed = send(
                nodes.router_address(0),
                over_tls(long_stream(), old.certificate()));
        });
    const bool running = eventually(
        [&]
        {
            const auto state =
                get_json(nodes.engine_address(0), "/v1/engine/state");
            return state.is_object() &&
                   state.at("running").to_number<int>() > 0;
        });
    // One file is everybody's certificate and whom the router trusts.
    files.router.replace("rotate-router-2");
    std::ofstream(files.known.certificate()) << files.router.text();
    files.servers.replace("rotate-servers-2");
    nodes.router(0).send_signal(SIGHUP);
    const bool renewed = answers(nodes, files);
    caller.join();
    cr_assert(running);
    cr_assert(renewed, "%s", nodes.router_log(0).c_str());
    cr_assert_eq(streamed.status, 200U, "%s", streamed.error.c_str());
    cr_assert_neq(streamed.body.find("[DONE]"), std::string::npos);
    cr_assert_neq(nodes.router_log(0).find("RW1011"), std::string::npos);
    cr_assert_eq(nodes.router(0).terminate(), 0);
}
