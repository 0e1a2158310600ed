#include "programs/admin/admin_service.h"
#include "programs/common/server_program.h"

namespace {

using hickorystall::programs::common::server_program;
using hickorystall::programs::common::server_settings;

server_settings ParseSettings(std::string_view text,
                              std::vector<hickorystall::state::document_error>& errors) {
  const hickorystall::state::located_json document = hickorystall::state::ParseLocatedJson(text);
  errors = document.errors;
  if (document.value.is_discarded()) return {};
  hickorystall::state::object_reader reader(document, document.value, "", errors);
  server_settings settings = hickorystall::programs::common::ReadServerSettings(reader, document, errors);
  reader.Finish();
  return settings;
}

int RunProgram(server_settings settings) {
  server_program program("admin", std::move(settings));
  hickorystall::programs::admin::admin_service service(program);
  program.SetHandler([&service](hickorystall::transport::http_request request) {
    return service.Handle(std::move(request));
  });
  return program.Run();
}

}  // namespace

int main(int argc, char** argv) {
  return hickorystall::programs::common::RunServerProgram<server_settings>(
      argc, argv, "hickorystall-admin", "hickorystall admin", ParseSettings, RunProgram);
}
