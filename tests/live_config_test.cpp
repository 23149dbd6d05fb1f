// Guards against replacing the sheet or the assignments with an older version
// when a read or a watch returns late.
#include "base/era_numbers.hpp"
#include "entry/live_config.hpp"

#include "tests/sheet_samples.hpp"

#include <gtest/gtest.h>

namespace poplar::entry
{
namespace
{

store::object sheet_object(std::uint64_t generation, std::uint64_t version)
{
    sheet::sheet_record record;
    record.generation = sheet_generation(generation);
    record.export_id = "export-" + std::to_string(generation);
    record.operator_name = "test";
    record.text = sheet::sample_sheet;
    return {sheet::sheet_key, object_version(version), sheet::to_json(record)};
}

store::object assignments_object(std::uint64_t epoch, std::uint64_t version)
{
    control::group_assignments a;
    a.epoch = owner_epoch(epoch);
    a.owner = instance_id("entry-1");
    return {control::assignments_key(group_id("writers")),
            object_version(version), control::to_json(a)};
}

TEST(live_config, keeps_the_sheet_against_an_older_generation)
{
    live_config config;
    EXPECT_TRUE(config.take_sheet(sheet_object(7, 20)));
    EXPECT_FALSE(config.take_sheet(sheet_object(6, 19)));
    EXPECT_FALSE(config.take_sheet(sheet_object(7, 20)));
    EXPECT_EQ(config.current().generation, sheet_generation(7));
    EXPECT_TRUE(config.take_sheet(sheet_object(8, 30)));
    EXPECT_EQ(config.current().generation, sheet_generation(8));
}

TEST(live_config, keeps_assignments_against_an_older_version)
{
    live_config config;
    EXPECT_TRUE(config.take_assignments(assignments_object(2, 20)));
    EXPECT_FALSE(config.take_assignments(assignments_object(1, 19)));
    EXPECT_FALSE(config.take_assignments(assignments_object(2, 20)));
    EXPECT_TRUE(config.take_assignments(assignments_object(3, 21)));
}

TEST(live_config, keeps_assignments_that_a_restored_store_lacks)
{
    const auto version = [](unsigned era, std::uint64_t revision)
    {
        return make_version(store_era(era), revision).value;
    };
    live_config config;
    ASSERT_TRUE(config.take_assignments(assignments_object(2, 20)));
    EXPECT_FALSE(
        config.take_assignments(assignments_object(1, version(1, 10))));
    EXPECT_FALSE(
        config.take_assignments(assignments_object(2, version(1, 15))));
    const std::uint64_t epoch = next_in_era(2, store_era(1));
    EXPECT_TRUE(
        config.take_assignments(assignments_object(epoch, version(1, 16))));
    EXPECT_TRUE(
        config.take_assignments(assignments_object(epoch, version(1, 17))));
}

} // namespace
} // namespace poplar::entry
