// Guards against sheets with faults that are accepted, once calls that pass as
// repeatable, and exports that are lost, overwritten or reported wrongly.
#include "base/digest.hpp"
#include "sheet/diff.hpp"
#include "sheet/publish.hpp"
#include "store/memory_store.hpp"
#include "tests/sheet_samples.hpp"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <utility>

namespace poplar::sheet
{
namespace
{

using store::memory_store;

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = sample_sheet;
    text.replace(text.find(from), from.size(), to);
    return text;
}

struct fault_case
{
    const char* from; ///< Text of the sample that is replaced.
    const char* to;
    std::uint32_t line;
    const char* key;
    const char* reason;
};

class sheet_faults : public testing::TestWithParam<fault_case>
{
};

TEST_P(sheet_faults, name_file_line_key_and_reason)
{
    const fault_case& c = GetParam();
    try
    {
        parse_sheet(replaced(c.from, c.to), "s.toml");
        FAIL() << "no fault reported";
    }
    catch (const settings::settings_error& ec)
    {
        ASSERT_EQ(ec.faults().size(), 1U) << ec.what();
        const settings::fault& f = ec.faults().front();
        EXPECT_EQ(f.file, "s.toml");
        EXPECT_EQ(f.line, c.line) << ec.what();
        EXPECT_EQ(f.key, c.key);
        EXPECT_NE(f.reason.find(c.reason), std::string::npos) << f.reason;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, sheet_faults,
    testing::Values(
        fault_case{"= 0.4",
                   "= 0.4\n[[rank]]\nname = \"urgent\"\n"
                   "first_token_target = \"1s\"\n"
                   "token_interval_target = \"1s\"",
                   19, "rank[2].name", "twice"},
        fault_case{"= 0.4", "= 0.41", 17, "rank[1].guaranteed_share",
                   "more than 1"},
        fault_case{"= 0.6", "= 1.1", 9, "rank[0].guaranteed_share", "range"},
        fault_case{"\"27ms\"", "\"0ms\"", 8, "rank[0].token_interval_target",
                   "range"},
        fault_case{"first_token_target = \"360ms\"", "", 5,
                   "rank[0].first_token_target", "missing"},
        fault_case{"rank = \"later\"", "rank = \"soon\"", 34, "tenant[0].rank",
                   "no rank \"soon\""},
        fault_case{"most_urgent_rank = \"urgent\"", "most_urgent_rank = \"x\"",
                   35, "tenant[0].most_urgent_rank", "no rank \"x\""},
        fault_case{"withdrawn = []", "withdrawn = [\"writer-1\"]", 3,
                   "withdrawn", "at once"},
        fault_case{"[\"writer-1\"]", "[\"a\", \"a\"]", 2, "drained", "twice"},
        fault_case{"[\"writer-1\"]", "[\"a/b\"]", 2, "drained", "not a name"},
        fault_case{"[[service]]",
                   "[[group]]\nname = \"b\"\nversion = \"1\"\n"
                   "model = \"layout-writer\"\n[[service]]",
                   29, "group[1].model", "twice"},
        fault_case{"\"order-app\"", "\"writers\"", 27, "service[0].name",
                   "twice"},
        fault_case{"[\"tt-south\"]", "[\"layout-writer\"]", 23,
                   "group[0].adapters", "name of a model"},
        fault_case{"checks_fencing = true", "prefill_engines = 2", 24,
                   "group[0].prefill_engines", "only allowed"},
        fault_case{"checks_fencing = true", "roles = \"fixed\"", 19,
                   "group[0].prefill_engines", "at least 1"},
        fault_case{"checks_fencing = true", "roles = \"some\"", 24,
                   "group[0].roles", "automatic"},
        fault_case{"checks_fencing = true", "max_changing = 0", 24,
                   "group[0].max_changing", "range"},
        fault_case{"checks_fencing = true", "split_threshold = 0", 24,
                   "group[0].split_threshold", "range"},
        fault_case{"POST /orders", "post /orders", 28, "service[0].once",
                   "expected GET"},
        fault_case{"POST /orders", "POST/orders", 28, "service[0].once",
                   "one space"},
        fault_case{"POST /orders", "POST orders", 28, "service[0].once",
                   "start with '/'"},
        fault_case{"POST /orders", "POST /a/../b", 28, "service[0].once",
                   "segment"},
        fault_case{"POST /orders", "POST /orders/", 28, "service[0].once",
                   "must not end"},
        fault_case{"POST /orders", "PUT /orders/print", 28, "service[0].once",
                   "listed twice"},
        fault_case{"\"writers\"", "\"\"", 20, "group[0].name", "not a name"},
        fault_case{"weight = 2", "weigth = 2", 33, "tenant[0].weigth",
                   "unknown key"}));

TEST(sheet_check, reports_all_faults_at_once)
{
    try
    {
        parse_sheet("[[group]]\nname='a'\n[[rank]]\nname='r'\n", "s");
        FAIL();
    }
    catch (const settings::settings_error& ec)
    {
        EXPECT_EQ(ec.faults().size(), 4U) << ec.what();
    }
}

TEST(sheet_check, parses_every_key)
{
    const sheet s = parse_sheet(sample_sheet, "s");
    ASSERT_EQ(s.ranks.size(), 2U);
    EXPECT_EQ(s.ranks[0].first_token_target, std::chrono::milliseconds(360));
    EXPECT_EQ(s.ranks[0].engine_priority, 10);
    EXPECT_EQ(s.groups.at(0).adapters.at(0), adapter_id("tt-south"));
    EXPECT_TRUE(s.groups.at(0).checks_fencing);
    EXPECT_EQ(s.services.at(0).once.at(1).path_prefix, "/orders/print");
    EXPECT_EQ(s.tenants.at(0).weight, 2);
    EXPECT_EQ(state_of(s, instance_id("writer-1")), upstream_state::draining);
    EXPECT_EQ(state_of(s, instance_id("writer-2")), upstream_state::active);
}

struct once_case
{
    const char* method;
    const char* path;
    bool once;
};

class once_calls : public testing::TestWithParam<once_case>
{
};

TEST_P(once_calls, are_recognised_in_every_spelling)
{
    const service s = parse_sheet(sample_sheet, "s").services.at(0);
    EXPECT_EQ(is_once(s, GetParam().method, GetParam().path), GetParam().once);
}

INSTANTIATE_TEST_SUITE_P(
    table, once_calls,
    testing::Values(
        once_case{"POST", "/orders", true}, once_case{"POST", "/orders/", true},
        once_case{"POST", "//orders", true},
        once_case{"POST", "/orders//12?x=1", true},
        once_case{"POST", "/orders#x", true},
        once_case{"POST", "/%6frders", true},
        once_case{"POST", "/%256Frders", true},
        once_case{"POST", "%2Forders%2f7", true},
        once_case{"POST", "/./orders", true},
        once_case{"POST", "/a/../orders", true},
        once_case{"POST", "/a/%2e%2e/orders", true},
        once_case{"POST", "/orders;v=1/7", true},
        once_case{"POST", "/orders%00x", true},
        once_case{"POST", "\\orders", true}, once_case{"post", "/Orders", true},
        once_case{"PUT", "/orders/print/7", true},
        once_case{"PUT", "/orders", false}, once_case{"GET", "/orders", false},
        once_case{"POST", "/orders2", false},
        once_case{"POST", "/menu/orders", false}, once_case{"POST", "/", false},
        once_case{"POST", "/orders%zz", false}));

/// Writes a path in one of the ways that a service may read as the same.
std::string respell(const std::string& path)
{
    std::string result;
    for (const char c : path)
    {
        const int way = *rc::gen::inRange(0, 4);
        const std::string escaped =
            "%" + hex(static_cast<unsigned char>(c)).substr(14);
        if (c == '/')
            result += std::array{"/", "//", "/./", "/x/../"}.at(way);
        else
            result += way == 0 ? escaped : std::string(1, c);
    }
    return result + *rc::gen::element<std::string>("", "/", "//", "?a=/b");
}

RC_GTEST_PROP(once_call_property, respelling_hides_no_call, ())
{
    const service s = parse_sheet(sample_sheet, "s").services.at(0);
    RC_ASSERT(is_once(s, "POST", respell("/orders")));
    RC_ASSERT(is_once(s, "PUT", respell("/orders/print/7")));
    RC_ASSERT(!is_once(s, "PUT", respell("/menu/orders/print")));
}

TEST(sheet_record_json, keeps_every_field)
{
    const sheet_record r{sheet_generation(7),
                         "e7",
                         "ana",
                         1700000000,
                         "x = \"\xc3\xa9\"\n",
                         {{sheet_generation(6), "e6", "bo", 1}}};
    EXPECT_EQ(parse_record(to_json(r)), r);
}

TEST(sheet_record_json, refuses_text_that_differs_from_its_digest)
{
    std::string json = to_json({sheet_generation(1), "e", "o", 0, "abc", {}});
    json.replace(json.find("abc"), 3, "abd");
    EXPECT_THROW(parse_record(json), parse_error);
    EXPECT_THROW(parse_record("{}"), parse_error);
    EXPECT_THROW(parse_record("["), parse_error);
}

TEST(sheet_diff, names_each_change_once)
{
    const sheet before = parse_sheet(sample_sheet, "s");
    sheet after = before;
    std::ranges::reverse(after.ranks);
    after.groups[0].version = model_version("4");
    after.services.clear();
    after.withdrawn.emplace_back("writer-9");
    EXPECT_EQ(to_text(diff(before, after)),
              "~ rank_order ranks: order [urgent, later] -> [later, urgent]\n"
              "~ group writers: version 3 -> 4\n"
              "- service order-app\n"
              "+ withdrawn writer-9\n");
    EXPECT_TRUE(diff(before, before).empty());
}

publish_request request(const std::string& id, const std::string& version)
{
    const std::string text = replaced("\"3\"", "\"" + version + "\"");
    return {text, "s.toml", "op-" + id, id, 5, std::nullopt};
}

publish_options quick()
{
    return {3, [](unsigned) {
            }};
}

TEST(sheet_publish, gives_no_generation_out_again_after_a_restore)
{
    memory_store store;
    const auto copy = store.make_copy();
    const publish_result lost = publish(store, request("a", "4"), quick());
    store.restore(copy);
    const publish_result other = publish(store, request("b", "5"), quick());
    ASSERT_EQ(other.status, publish_status::accepted);
    EXPECT_GT(other.generation, lost.generation);
    publish_request outdated = request("c", "6");
    outdated.base = lost.generation;
    EXPECT_EQ(publish(store, outdated, quick()).status,
              publish_status::conflict);
}

TEST(sheet_publish, second_operator_learns_who_won_and_the_difference)
{
    memory_store store;
    publish_request first = request("a", "4");
    publish_request second = request("b", "5");
    first.base = second.base = sheet_generation(0);
    EXPECT_EQ(publish(store, first, quick()).status, publish_status::accepted);
    const publish_result r = publish(store, second, quick());
    ASSERT_EQ(r.status, publish_status::conflict);
    EXPECT_EQ(r.winner.value().operator_name, "op-a");
    EXPECT_EQ(r.winner.value().generation, sheet_generation(1));
    EXPECT_EQ(to_text(r.differences), "~ group writers: version 4 -> 5\n");
}

TEST(sheet_publish, lost_answer_is_accepted_after_reading_back)
{
    memory_store store;
    store.set_faults({false, 1, 0});
    EXPECT_EQ(publish(store, request("a", "4"), quick()).status,
              publish_status::accepted);
    EXPECT_EQ(store.writes(), 1U);
}

/// Loses the answer of the first write to an outage that lasts.
class failing_after_write : public memory_store
{
public:
    store::put_result put(const object_key& key, const std::string& value,
                          object_version expected) override
    {
        if (std::exchange(written_, true))
            return memory_store::put(key, value, expected);
        memory_store::put(key, value, expected);
        set_faults({true, 0, 0});
        throw store::store_error(store::store_failure::unknown_outcome,
                                 "answer lost");
    }

private:
    bool written_ = false;
};

TEST(sheet_publish, lost_answer_without_reading_back_is_unknown)
{
    failing_after_write store;
    EXPECT_EQ(publish(store, request("a", "4"), quick()).status,
              publish_status::unknown);
    store.set_faults({});
    EXPECT_TRUE(find_export(read_current(store).record.value(), "a"));
}

TEST(sheet_publish, outage_before_the_write_is_certainly_without_effect)
{
    memory_store store;
    store.set_faults({true, 0, 0});
    EXPECT_THROW(publish(store, request("a", "4"), quick()),
                 store::store_error);
    store.set_faults({});
    EXPECT_FALSE(read_current(store).record);
}

/// Loses the answer of a write and lets another operator publish on top of it
/// before the writer reads back.
class replaced_before_read_back : public memory_store
{
public:
    store::put_result put(const object_key& key, const std::string& value,
                          object_version expected) override
    {
        const store::put_result r = memory_store::put(key, value, expected);
        if (std::exchange(done_, true))
            return r;
        publish(*this, request("other", "9"), quick());
        throw store::store_error(store::store_failure::unknown_outcome,
                                 "answer lost");
    }

private:
    bool done_ = false;
};

TEST(sheet_publish, accepted_and_replaced_export_is_not_called_refused)
{
    replaced_before_read_back store;
    const publish_result r = publish(store, request("a", "4"), quick());
    EXPECT_EQ(r.status, publish_status::accepted);
    EXPECT_EQ(r.generation, sheet_generation(1));
    EXPECT_EQ(read_current(store).record.value().export_id, "other");
}

struct step
{
    bool second_operator;
    bool rereads; ///< The operator takes the current generation as base.
    unsigned lost_answers;
    unsigned lost_requests;
};

rc::Gen<step> any_step()
{
    return rc::gen::construct<step>(
        rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>(),
        rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 3U));
}

RC_GTEST_PROP(sheet_publish_property, no_accepted_export_is_lost_or_overwritten,
              ())
{
    const auto steps = *rc::gen::container<std::vector<step>>(any_step());
    memory_store store;
    std::array<sheet_generation, 2> base{};
    sheet_generation last;
    for (std::size_t i = 0; i < steps.size() && i < max_past_exports; ++i)
    {
        const step& s = steps[i];
        sheet_generation& read = base.at(s.second_operator ? 1 : 0);
        if (s.rereads)
            read = read_current(store).generation();
        store.set_faults({false, s.lost_answers, s.lost_requests});
        publish_request r = request("e" + std::to_string(i), "7");
        r.base = read;
        const publish_result result = publish(store, r, {9, [](unsigned) {
                                                         }});
        store.set_faults({});
        const current_sheet now = read_current(store);
        const bool is_accepted = result.status == publish_status::accepted;
        RC_ASSERT(result.status != publish_status::unknown);
        RC_ASSERT(is_accepted == (read == last));
        RC_ASSERT(now.generation().value == last.value + (is_accepted ? 1 : 0));
        if (is_accepted)
            RC_ASSERT(now.record.value().export_id == r.export_id);
        last = now.generation();
    }
    RC_ASSERT(store.writes() == last.value);
}

} // namespace
} // namespace poplar::sheet
