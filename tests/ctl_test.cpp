// Guards against exit codes and texts of poplarctl that mislead an operator,
// and against exports that overwrite those of others.
#include "net/http_server.hpp"
#include "sheet/publish.hpp"
#include "tests/platform_process.hpp"
#include "tests/sheet_samples.hpp"

#include <atomic>
#include <fstream>
#include <gtest/gtest.h>
#include <latch>
#include <thread>

namespace poplar::ctl
{
namespace
{

using nlohmann::json;
using testing_support::command_result;
using testing_support::platform_process;
using testing_support::scratch_folder;

/// Exit codes of docs/poplarctl.md.
constexpr int success = 0;
constexpr int usage = 2;
constexpr int refused_sheet = 3;
constexpr int conflict = 4;
constexpr int unknown = 5;
constexpr int unreachable = 6;
constexpr int different = 7;
constexpr int not_found = 8;

using arguments = std::vector<std::string>;

command_result run(const arguments& all)
{
    return testing_support::run_command("poplarctl", all);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string write(const scratch_folder& folder, const std::string& name,
                  const std::string& text)
{
    const auto file = folder.path() / name;
    std::ofstream(file) << text;
    return file.string();
}

std::string with_version(const std::string& version)
{
    std::string text = sheet::sample_sheet;
    const std::string present = "version = \"3\"";
    return text.replace(text.find(present), present.size(),
                        "version = \"" + version + "\"");
}

class poplarctl : public testing::Test
{
protected:
    /// Adds --platform and, where it is needed, --operator.
    command_result call(arguments all, const std::string& operator_name = "")
    {
        all.insert(all.end(), {"--platform", to_string(stand_in_.address())});
        if (!operator_name.empty())
            all.insert(all.end(), {"--operator", operator_name});
        return run(all);
    }

    std::string file(const std::string& name, const std::string& text)
    {
        return write(stand_in_.folder(), name, text);
    }

    sheet::sheet_record current()
    {
        return sheet::read_current(*stand_in_.store()).record.value();
    }

    void put(const std::string& key, const std::string& value)
    {
        stand_in_.store()->put(object_key(key), value, object_version());
    }

    platform_process stand_in_;
};

struct usage_case
{
    arguments given;
    int code;
    const char* output;
};

class command_lines : public testing::TestWithParam<usage_case>
{
};

TEST_P(command_lines, are_checked_before_anything_is_done)
{
    const command_result r = run(GetParam().given);
    EXPECT_EQ(r.exit_code, GetParam().code) << r.output;
    EXPECT_TRUE(contains(r.output, GetParam().output)) << r.output;
}

INSTANTIATE_TEST_SUITE_P(
    table, command_lines,
    testing::Values(
        usage_case{{}, usage, "subcommand is missing"},
        usage_case{{"aply"}, usage, "unknown subcommand \"aply\""},
        usage_case{{"--help"}, success, "Exit codes"},
        usage_case{{"apply", "--help"}, success, "--base"},
        usage_case{{"check", "--help"}, success, "FILE"},
        usage_case{{"diff", "--help"}, success, "--platform"},
        usage_case{{"export", "--help"}, success, "--json"},
        usage_case{{"status", "--help"}, success, "--export"},
        usage_case{{"drain", "--help"}, success, "INSTANCE"},
        usage_case{{"undrain", "--help"}, success, "INSTANCE"},
        usage_case{{"explain", "--help"}, success, "--entry"},
        usage_case{{"status"}, usage, "--platform"},
        usage_case{{"status", "--platform", "host:1"}, usage, "IP number"},
        usage_case{{"status", "--platform", "127.0.0.1:1"},
                   unreachable,
                   "unreachable"},
        usage_case{
            {"drain", "a", "--platform", "127.0.0.1:1"}, usage, "--operator"},
        usage_case{{"explain", "--entry", "127.0.0.1:1"}, usage, "either"},
        usage_case{{"explain", "-r", "x"}, usage, "either --entry or --log"},
        usage_case{{"explain", "a", "--log", "-"}, usage, "--request"},
        usage_case{{"losses", "--help"}, success, "--log"},
        usage_case{{"losses"}, usage, "log"},
        usage_case{{"losses", "--log", "/no/such"}, 1, "cannot open"},
        usage_case{
            {"explain", "--entry", "127.0.0.1:1", "-r", "x"}, usage, "hex"},
        usage_case{{"explain", "--entry", "127.0.0.1:1", "a"},
                   unreachable,
                   "127.0.0.1:1"},
        usage_case{
            {"check", "/nonexistent"}, refused_sheet, "cannot be read"}));

TEST_F(poplarctl, check_lists_every_fault)
{
    const std::string bad =
        file("bad.toml", with_version("") + "\ncolour = 1\n");
    const command_result r = run({"check", bad});
    EXPECT_EQ(r.exit_code, refused_sheet);
    EXPECT_TRUE(contains(r.output, bad + ":22: group[0].version: "))
        << r.output;
    EXPECT_TRUE(contains(r.output, "colour: unknown key")) << r.output;
    EXPECT_EQ(call({"apply", bad}, "ana").exit_code, refused_sheet);
    const std::string good = file("good.toml", sheet::sample_sheet);
    EXPECT_EQ(run({"check", good}).exit_code, success);
}

TEST_F(poplarctl, export_edit_apply_keeps_the_text)
{
    EXPECT_EQ(call({"export"}).exit_code, not_found);
    const std::string first = file("a.toml", with_version("3"));
    EXPECT_EQ(call({"apply", first}, "ana").exit_code, success);
    const command_result exported = call({"export"});
    EXPECT_TRUE(contains(exported.output, "generation 1, exported by ana"));
    const std::string copy = file("copy.toml", exported.output);
    EXPECT_EQ(call({"diff", copy}).exit_code, success);
    EXPECT_EQ(call({"apply", copy}, "bo").exit_code, success);
    EXPECT_EQ(current().text, with_version("3"));
    const command_result stale = call({"apply", copy}, "bo");
    EXPECT_EQ(stale.exit_code, conflict);
    EXPECT_TRUE(contains(stale.output, "generation 2, exported by bo"));
}

TEST_F(poplarctl, conflict_names_the_winner_and_the_difference)
{
    const std::string a = file("a.toml", with_version("4"));
    const std::string b = file("b.toml", with_version("5"));
    EXPECT_EQ(call({"apply", a, "--base", "0"}, "ana").exit_code, success);
    const command_result r = call({"apply", b, "--base", "0", "--json"}, "bo");
    EXPECT_EQ(r.exit_code, conflict);
    const json j = json::parse(r.output);
    EXPECT_EQ(j.at("winner").at("operator"), "ana");
    EXPECT_EQ(j.at("winner").at("generation"), 1);
    EXPECT_EQ(j.at("differences").at(0).at("after"), "5");
    EXPECT_EQ(call({"diff", b}).exit_code, different);
    EXPECT_EQ(current().operator_name, "ana");
}

TEST_F(poplarctl, lost_answer_is_resolved_by_reading_back)
{
    const std::string a = file("a.toml", with_version("4"));
    stand_in_.set_faults(R"({"lose_answers":1})");
    EXPECT_EQ(call({"apply", a, "-e", "id1"}, "ana").exit_code, success);
    EXPECT_EQ(call({"apply", a, "-e", "id1"}, "ana").exit_code, success);
    EXPECT_EQ(current().generation, sheet_generation(1));
    EXPECT_EQ(call({"status", "--export", "id1"}).exit_code, success);
    EXPECT_EQ(call({"status", "--export", "id2"}).exit_code, not_found);
    stand_in_.set_faults(R"({"outage":true})");
    EXPECT_EQ(call({"apply", a}, "ana").exit_code, unreachable);
    EXPECT_EQ(call({"status", "--export", "id1"}).exit_code, unreachable);
}

/// A platform that has no sheet, breaks writes and then refuses reads.
TEST(poplarctl_alone, lost_answer_in_an_outage_is_unknown)
{
    std::atomic<bool> was_written{false};
    const net::http_server server(
        {{"127.0.0.1", 0}},
        [&](const net::http_request& request, const net::responder_ptr& answer)
        {
            const bool is_write = request.method == "PUT";
            if (is_write)
                was_written = true;
            if (is_write)
                answer->abort();
            else
                answer->respond({was_written ? 503U : 404U, {}, ""});
        });
    const scratch_folder folder;
    const command_result r = run(
        {"apply", write(folder, "a.toml", sheet::sample_sheet), "--platform",
         to_string(server.address()), "--operator", "ana", "-e", "id1"});
    EXPECT_EQ(r.exit_code, unknown);
    EXPECT_TRUE(contains(r.output, "poplarctl status --export id1"))
        << r.output;
}

TEST_F(poplarctl, drain_and_undrain_change_only_the_list)
{
    const std::string a = file("a.toml", with_version("3"));
    EXPECT_EQ(call({"drain", "w"}, "ana").exit_code, not_found);
    call({"apply", a}, "ana");
    stand_in_.call("PUT", "/admin/instances/w7", R"({"kind":"engine"})");
    const command_result drained = call({"drain", "w7", "w8"}, "bo");
    EXPECT_EQ(drained.exit_code, success);
    EXPECT_TRUE(contains(drained.output, "list has no \"w8\""));
    EXPECT_FALSE(contains(drained.output, "list has no \"w7\""));
    EXPECT_TRUE(
        contains(current().text, "[\"writer-1\", \"w7\", \"w8\"] # new fan"));
    EXPECT_TRUE(contains(call({"drain", "w7"}, "bo").output, "unchanged"));
    EXPECT_EQ(call({"undrain", "w8", "w7"}, "bo").exit_code, success);
    EXPECT_EQ(current().text, with_version("3"));
    EXPECT_EQ(current().generation, sheet_generation(3));
    EXPECT_EQ(call({"drain", "a b"}, "bo").exit_code, usage);
}

TEST_F(poplarctl, drains_by_several_operators_at_once_are_all_kept)
{
    call({"apply", file("a.toml", with_version("3"))}, "ana");
    constexpr int count = 6;
    std::latch start(count);
    std::vector<std::thread> operators;
    operators.reserve(count);
    std::atomic<int> failures{0};
    for (int i = 0; i < count; ++i)
        operators.emplace_back(
            [&, i]
            {
                start.arrive_and_wait();
                const std::string name = "n" + std::to_string(i);
                if (call({"drain", name}, name).exit_code != success)
                    ++failures;
            });
    for (std::thread& it : operators)
        it.join();
    EXPECT_EQ(failures, 0);
    const sheet::sheet s = sheet::parse_sheet(current().text, "current");
    EXPECT_EQ(s.drained.size(), 1U + count);
    EXPECT_EQ(current().generation, sheet_generation(1 + count));
}

TEST_F(poplarctl, status_shows_sheet_groups_and_instances)
{
    call({"apply", file("a.toml", with_version("3"))}, "ana");
    put("assignments/writers",
        R"({"epoch":4,"owner":"entry-2","sheet_generation":1,"assignments":[)"
        R"({"instance":"writer-1","role":"decode","model":"layout-writer",)"
        R"("version":"3","adapters":["x","y"],"state":"draining",)"
        R"("reason":"drained by sheet 1"}]})");
    put("assignments/broken", "{}");
    put("lease/writers", R"({"owner":"entry-2","address":"127.0.0.1:7000",)"
                         R"("epoch":4,"renewals":17})");
    stand_in_.call("PUT", "/admin/instances/writer-1",
                   R"({"kind":"engine","group":"writers"})");
    const command_result text = call({"status"});
    EXPECT_EQ(text.exit_code, success);
    EXPECT_TRUE(contains(text.output, "warning: assignments/broken"));
    for (const char* part : {"entry-2", "127.0.0.1:7000", "17", "x,y",
                             "drained by sheet 1", "engine", "draining"})
        EXPECT_TRUE(contains(text.output, part)) << part << text.output;
    const std::string output = call({"status", "--json"}).output;
    const json j = json::parse(output.substr(output.find('{')));
    EXPECT_EQ(j.at("sheet").at("operator"), "ana");
    EXPECT_EQ(j.at("groups").at(0).at("assignments").at(0).at("role"),
              "decode");
    EXPECT_EQ(j.at("leases").at(0).at("renewals"), 17);
    EXPECT_EQ(j.at("instances").at(0).at("instance"), "writer-1");
}

TEST(poplarctl_alone, reads_the_logs_of_gateways)
{
    const scratch_folder folder;
    const std::string log = write(
        folder, "log",
        "n1 {\"event\":906,\"name\":\"gateway_try_failed\",\"time\":\"1\","
        "\"request\":\"a\",\"failure\":\"reset\"}\n"
        "{\"event\":907,\"name\":\"gateway_request_ended\",\"time\":\"2\","
        "\"request\":\"a\",\"service\":\"writers\",\"priority\":\"0\","
        "\"outcome\":\"failed: lost\"}\n");
    const command_result losses = run({"losses", "--log", log});
    EXPECT_EQ(losses.exit_code, success);
    EXPECT_TRUE(contains(losses.output, "lost 1")) << losses.output;
    const command_result one = run({"explain", "-r", "a", "--log", log});
    EXPECT_EQ(one.exit_code, success);
    EXPECT_TRUE(contains(one.output, "failure=reset")) << one.output;
    EXPECT_EQ(run({"explain", "-r", "b", "--log", log}).exit_code, not_found);
    const std::string other = write(folder, "other", "no record\n");
    EXPECT_EQ(run({"losses", "--log", other}).exit_code, not_found);
}

TEST(poplarctl_alone, explain_prints_the_decisions_of_each_entry)
{
    const std::string id = "0123456789abcdef0123456789abcdef";
    const net::http_server server(
        {{"127.0.0.1", 0}},
        [&](const net::http_request& request, const net::responder_ptr& answer)
        {
            const bool known =
                request.path == "/explain" &&
                (net::query_value(request, "request", "") == id ||
                 net::query_value(request, "instance", "") == "writer-1");
            answer->respond(
                {200,
                 {},
                 known ? R"({"decisions":[{"time_ms":1700000000250,)"
                         R"("kind":"refused","request":null,)"
                         R"("instance":"writer-1","detail":"backlog 9 s"}]})"
                       : R"({"decisions":[]})"});
        });
    const std::string at = to_string(server.address());
    const command_result r = run({"explain", "writer-1", "--entry", at});
    EXPECT_EQ(r.exit_code, success);
    EXPECT_TRUE(contains(r.output, "2023-11-14T22:13:20.250Z")) << r.output;
    EXPECT_TRUE(contains(r.output, "backlog 9 s")) << r.output;
    EXPECT_EQ(run({"explain", "--request", id, "--entry", at}).exit_code,
              success);
    EXPECT_EQ(run({"explain", "writer-2", "--entry", at}).exit_code, not_found);
    EXPECT_EQ(
        run({"explain", "writer-1", "--entry", at, "--entry", "127.0.0.1:1"})
            .exit_code,
        success);
    EXPECT_EQ(
        run({"explain", "writer-2", "--entry", at, "--entry", "127.0.0.1:1"})
            .exit_code,
        unreachable);
    const json j = json::parse(
        run({"explain", "writer-1", "--json", "--entry", at}).output);
    EXPECT_EQ(j.at("entries").at(0).at("decisions").at(0).at("kind"),
              "refused");
}

} // namespace
} // namespace poplar::ctl
