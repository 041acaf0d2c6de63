#include "config/syntax.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"

namespace dandelion::config {
namespace {

using nlohmann::json;

// Duplicates that are reported; a file may consist of them.
constexpr size_t kMaxDuplicates = 100;

/// Follows the events of the parser and knows the place of each.
class SyntaxCheck : public json::json_sax_t {
 public:
  std::vector<Problem> TakeProblems() { return std::move(problems_); }

  bool null() override { return OnValue(); }
  bool boolean(bool /*value*/) override { return OnValue(); }
  bool number_integer(number_integer_t /*value*/) override { return OnValue(); }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return OnValue();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return OnValue();
  }
  bool string(string_t& /*value*/) override { return OnValue(); }
  bool binary(binary_t& /*value*/) override { return OnValue(); }

  bool start_object(std::size_t /*size*/) override { return Enter(false); }
  bool start_array(std::size_t /*size*/) override { return Enter(true); }
  bool end_object() override { return Leave(); }
  bool end_array() override { return Leave(); }

  bool key(string_t& name) override {
    Level& level = levels_.back();
    level.key = name;
    if (!level.keys.insert(name).second && problems_.size() < kMaxDuplicates) {
      problems_.push_back({Place(), "the key is used twice in one object",
                           "remove one; only the last would count"});
    }
    return true;
  }

  bool parse_error(std::size_t position,
                   const std::string& /*last_token*/,
                   const json::exception& /*error*/) override {
    problems_.push_back({absl::StrCat("byte ", position), "not valid JSON",
                         "fix the syntax at this byte"});
    return false;
  }

 private:
  struct Level {
    bool is_array = false;
    size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  bool OnValue() {
    if (!levels_.empty()) {
      ++levels_.back().index;
    }
    return true;
  }
  bool Enter(bool is_array) {
    if (levels_.size() == kMaxDepth) {
      problems_.push_back(
          {Place(), absl::StrCat("nested deeper than ", kMaxDepth, " levels"),
           "see the reference in docs/OPERATIONS.md"});
      return false;
    }
    levels_.push_back({is_array, 0, "", {}});
    return true;
  }
  bool Leave() {
    levels_.pop_back();
    return OnValue();
  }
  std::string Place() const {
    std::string place = "$";
    for (const Level& level : levels_) {
      if (level.is_array) {
        absl::StrAppend(&place, "[", level.index, "]");
      } else {
        absl::StrAppend(&place, ".", level.key);
      }
    }
    return place;
  }

  std::vector<Level> levels_;
  std::vector<Problem> problems_;
};

}  // namespace

std::vector<Problem> CheckSyntax(std::string_view text) {
  if (text.size() > kMaxFileBytes) {
    return {{"file",
             absl::StrCat(text.size(), " bytes, more than ", kMaxFileBytes),
             "no configuration is that large; check the path"}};
  }
  SyntaxCheck check;
  json::sax_parse(text, &check);
  return check.TakeProblems();
}

}  // namespace dandelion::config
