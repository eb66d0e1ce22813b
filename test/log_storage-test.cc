// Files of the control log: acknowledged data survives a kill at any step, torn
// tails are removed, other damage is reported, and failures are permanent.
#include "control/log_storage.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "control/log_record.h"
#include "memory_disk.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* folder = "data";

log_entry entry(std::uint64_t index, std::uint64_t term) {
  return {index,
          term,
          log_entry_kind::command,
          {fmt::format("{}/{}", index, term)}};
}

// Appends, a truncation by a later term, a snapshot, and entries after it.
std::vector<log_batch> scenario() {
  log_snapshot snapshot{3, 2, {{"r1", "vm-0", "", true}}, {"state"}};
  return {
      {1, hard_state{"g", 1, "r1"}, {}, {entry(1, 1), entry(2, 1)}},
      {2, {}, {}, {entry(3, 1), entry(4, 1)}},
      {3, hard_state{"g", 2, ""}, {}, {entry(3, 2)}},
      {4, {}, snapshot, {entry(2, 1), entry(3, 2)}},
      {5, {}, {}, {entry(4, 2), entry(5, 2)}},
      {6, hard_state{"g", 3, "r1"}, snapshot, {}},
      {7, {}, {}, {entry(4, 3)}},
  };
}

struct expected_log {
  hard_state state;
  std::uint64_t snapshot = 0;
  std::vector<log_entry> entries;
  bool operator==(const expected_log& other) const {
    return state == other.state && snapshot == other.snapshot &&
           entries == other.entries;
  }
};

expected_log after(std::size_t batches) {
  expected_log out;
  const auto all = scenario();
  for (std::size_t i = 0; i < batches; ++i) {
    out.state = all[i].state.value_or(out.state);
    if (all[i].snapshot) {
      out.snapshot = all[i].snapshot->index;
      out.entries.clear();
    }
    for (const log_entry& next : all[i].entries) {
      while (!out.entries.empty() && out.entries.back().index >= next.index) {
        out.entries.pop_back();
      }
      out.entries.push_back(next);
    }
  }
  return out;
}

absl::StatusOr<expected_log> reopen(memory_disk& disk) {
  auto storage = log_storage::open(disk.operations(), folder);
  if (!storage.ok()) {
    return storage.status();
  }
  const restored_log got = (*storage)->take_restored();
  return expected_log{got.state, got.snapshot ? got.snapshot->index : 0,
                      got.entries};
}

// Opens, writes until a step fails, and returns how many batches were
// acknowledged.
std::size_t write_all(memory_disk& disk) {
  auto storage = log_storage::open(disk.operations(), folder);
  std::size_t done = 0;
  for (const log_batch& batch : scenario()) {
    if (!storage.ok() || !(*storage)->write(batch).ok()) {
      break;
    }
    ++done;
  }
  return done;
}

void prepare(memory_disk& disk) {
  BOOST_REQUIRE(log_storage::create(disk.operations(), folder).ok());
}

constexpr const char* journal = "data/journal-";

}  // namespace

BOOST_AUTO_TEST_CASE(a_kill_at_any_step_loses_nothing_acknowledged) {
  memory_disk whole;
  prepare(whole);
  const int first = whole.steps();
  const std::size_t all = write_all(whole);
  BOOST_TEST(all == scenario().size());
  for (int kill = first; kill < whole.steps(); ++kill) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      BOOST_TEST_CONTEXT("kill at step " << kill << " seed " << seed) {
        std::mt19937_64 random(seed);
        memory_disk disk;
        prepare(disk);
        disk.fault = [&](const std::string&) -> absl::Status {
          return disk.steps() <= kill ? absl::OkStatus()
                                      : absl::InternalError("killed");
        };
        const std::size_t done = write_all(disk);
        disk.fault = nullptr;
        disk.crash(random);
        const auto got = reopen(disk);
        BOOST_REQUIRE_MESSAGE(got.ok(), got.status().ToString());
        // The batch in progress may also be present, completely.
        BOOST_TEST((*got == after(done) || *got == after(done + 1)));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(after_a_failed_step_no_later_success_is_believed) {
  for (const char* failing : {"write", "sync", "rename", "sync_folder"}) {
    BOOST_TEST_CONTEXT(failing) {
      memory_disk disk;
      prepare(disk);
      auto storage = log_storage::open(disk.operations(), folder);
      const auto batches = scenario();
      BOOST_REQUIRE((*storage)->write(batches[0]).ok());
      disk.fault = [&](const std::string& step) -> absl::Status {
        return step == failing ? absl::ResourceExhaustedError("disk full")
                               : absl::OkStatus();
      };
      BOOST_TEST(!(*storage)->write(batches[3]).ok());
      disk.fault = nullptr;
      BOOST_TEST(!(*storage)->write(batches[1]).ok());
    }
  }
}

// After a failed sync, the operating system may return bytes that are not on
// the disk. State that a restart accepts must survive the next crash.
BOOST_AUTO_TEST_CASE(what_a_restart_believes_is_synced_anew) {
  memory_disk disk;
  prepare(disk);
  auto storage = log_storage::open(disk.operations(), folder);
  disk.fault = [](const std::string& step) -> absl::Status {
    return step == "sync" ? absl::InternalError("I/O") : absl::OkStatus();
  };
  BOOST_TEST(!(*storage)->write(scenario()[0]).ok());
  disk.fault = nullptr;
  storage->reset();
  const auto believed = reopen(disk);
  BOOST_REQUIRE(believed.ok());
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    std::mt19937_64 random(seed);
    disk.crash(random);
    BOOST_TEST((reopen(disk).value() == *believed));
  }
}

BOOST_AUTO_TEST_CASE(damage_is_cut_or_named) {
  struct damage {
    const char* name;
    std::function<void(std::string& bytes, std::size_t last)> apply;
    bool is_torn;
  };
  const std::vector<damage> table{
      {"last record cut short",
       [](std::string& b, std::size_t) { b.resize(b.size() - 3); }, true},
      {"header cut short",
       [](std::string& b, std::size_t last) { b.resize(last + 5); }, true},
      {"last sectors never written",
       [](std::string& b, std::size_t last) {
         std::fill(b.begin() + static_cast<std::ptrdiff_t>(last), b.end(), 0);
       },
       true},
      {"bit flipped in an earlier record",
       [](std::string& b, std::size_t last) { b[last - 2] ^= 4; }, false},
      {"earlier header damaged", [](std::string& b, std::size_t) { b[0] ^= 1; },
       false},
      {"earlier size damaged", [](std::string& b, std::size_t) { b[6] ^= 1; },
       false},
      {"earlier bytes zeroed",
       [](std::string& b, std::size_t) { std::fill_n(b.begin(), 20, 0); },
       false},
      {"bit flipped in the last record",
       [](std::string& b, std::size_t) { b[b.size() - 2] ^= 4; }, false},
      {"last header damaged",
       [](std::string& b, std::size_t last) { b[last + 1] ^= 4; }, false}};
  for (const damage& each : table) {
    BOOST_TEST_CONTEXT(each.name) {
      memory_disk disk;
      prepare(disk);
      auto storage = log_storage::open(disk.operations(), folder);
      const std::vector<log_batch> batches = scenario();
      BOOST_REQUIRE((*storage)->write(batches[0]).ok());
      const std::size_t last = disk.content(journal).size();
      BOOST_REQUIRE((*storage)->write(batches[1]).ok());
      each.apply(disk.content(journal), last);
      const auto got = reopen(disk);
      if (each.is_torn) {
        BOOST_REQUIRE_MESSAGE(got.ok(), got.status().ToString());
        BOOST_TEST((*got == after(1)));
      } else {
        BOOST_TEST((got.status().code() == absl::StatusCode::kDataLoss));
        BOOST_TEST(got.status().ToString().find("offset") != std::string::npos);
        BOOST_TEST(got.status().ToString().find(journal) != std::string::npos);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_damaged_or_missing_snapshot_is_named) {
  for (const bool missing : {false, true}) {
    memory_disk disk;
    prepare(disk);
    write_all(disk);
    std::string& bytes = disk.content("data/snapshot-");
    if (missing) {
      bytes.clear();
    } else {
      bytes[bytes.size() / 2] ^= 1;
    }
    const auto got = reopen(disk);
    BOOST_TEST((got.status().code() == absl::StatusCode::kDataLoss));
    BOOST_TEST(got.status().ToString().find("snapshot-") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(an_empty_log_is_never_made_over_one_that_is_not) {
  memory_disk disk;
  prepare(disk);
  BOOST_TEST(log_storage::create(disk.operations(), folder).ok());
  write_all(disk);
  BOOST_TEST((log_storage::create(disk.operations(), folder).code() ==
              absl::StatusCode::kDataLoss));
}

// Any single flipped bit in a file of complete records is detected.
BOOST_AUTO_TEST_CASE(any_flipped_bit_is_found) {
  BOOST_TEST(rc::check([](const std::vector<std::string>& payloads) {
    std::string bytes;
    for (const std::string& payload : payloads) {
      bytes += encode_record(payload);
    }
    const auto whole = scan_records("f", bytes);
    RC_ASSERT(whole.ok());
    RC_ASSERT(whole->payloads == payloads);
    if (!bytes.empty()) {
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      const auto bit = *rc::gen::inRange(0, 8);
      bytes[at] = static_cast<char>(bytes[at] ^ (1 << bit));
      const auto got = scan_records("f", bytes);
      const bool found = !got.ok() || got->payloads != payloads;
      RC_ASSERT(found);
    }
  }));
}
