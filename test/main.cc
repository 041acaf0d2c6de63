#define CATCH_CONFIG_RUNNER
#include <sodium.h>

#include <catch2/catch.hpp>

int main(int argc, char** argv) {
  if (sodium_init() < 0) {
    return 1;
  }
  return Catch::Session().run(argc, argv);
}
