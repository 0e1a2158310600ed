#include "state/config/config_parser.h"

namespace hickorystall::state {

config_parse_result ParseClusterConfig(std::string_view text) {
  const located_json document = ParseLocatedJson(text);
  return {{}, document.errors};
}

}  // namespace hickorystall::state
