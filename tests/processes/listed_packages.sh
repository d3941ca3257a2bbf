#!/usr/bin/env bash
# Tests scripts/check-packages on records of builds and on builds of a small program. Files of
# listed packages and of their dependencies pass; files of other packages or of none, and unused
# packages, are reported.
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK="$(mktemp -d)"
trap 'rm -rf "$WORK"' EXIT

write_deploy_file() { # PACKAGE...
  printf 'build = "true"\npackages = [' >"$WORK/system.toml"
  printf '"%s",' "$@" >>"$WORK/system.toml"
  echo ']' >>"$WORK/system.toml"
}
write_record() { printf '%s\n' "$@" >"$WORK/record"; }
RECORD=(--record "$WORK/record")
check() { scripts/check-packages --deploy "$WORK/system.toml" "${RECORD[@]}" 2>&1; }
expect_pass() {
  local output
  if ! output="$(check)"; then echo "unexpected problem: $output"; exit 1; fi
}
expect_report() { # TEXT...
  local output text
  if output="$(check)"; then echo "no problem was reported, expected: $*"; exit 1; fi
  for text in "$@"; do
    if ! grep -qF -- "$text" <<<"$output"; then echo "not reported: $text; but: $output"; exit 1; fi
  done
}

echo "== files of listed packages"
write_deploy_file ninja-build nlohmann-json3-dev
write_record "named /usr/bin/ninja" "named /usr/include/nlohmann/json.hpp" "read /usr/bin/env"
expect_pass

echo "== one package is removed from the list"
write_deploy_file nlohmann-json3-dev
expect_report "/usr/bin/ninja: is in ninja-build" "add it to packages in deploy/system.toml"

echo "== a header of a package that only the command line needs"
write_deploy_file ninja-build nlohmann-json3-dev
write_record "named /usr/bin/ninja" "named /usr/include/nlohmann/json.hpp" \
  "named /usr/include/valijson/schema.hpp"
expect_report "/usr/include/valijson/schema.hpp: is in libvalijson-dev"

echo "== a compiler cache that happens to be installed"
write_record "named /usr/bin/ninja" "named /usr/include/nlohmann/json.hpp" "named /usr/bin/ccache"
expect_report "/usr/bin/ccache: is in ccache"

echo "== a file that no package owns"
touch "$WORK/local.h"
write_record "named /usr/bin/ninja" "named /usr/include/nlohmann/json.hpp" "read $WORK/local.h"
expect_report "$WORK/local.h: belongs to no package"

echo "== files of a dependency may be read, but a file that is named needs its package listed"
write_deploy_file librestinio-dev
write_record "named /usr/include/restinio/all.hpp" "read /usr/include/fmt/core.h"
expect_pass
write_record "named /usr/include/restinio/all.hpp" "named /usr/include/fmt/core.h"
expect_report "/usr/include/fmt/core.h: is in libfmt-dev, which comes with another package only"

echo "== a metapackage allows its direct dependencies, and a symbolic link is followed"
write_deploy_file pkg-config libboost-dev g++
write_record "named /usr/bin/pkg-config" "named /usr/include/boost/version.hpp" \
  "compiler /usr/bin/c++" "named /usr/include/c++/12/vector" "named /usr/include/poll.h"
expect_pass
write_deploy_file pkg-config libboost-program-options-dev g++
expect_report "/usr/include/boost/version.hpp: is in libboost1.74-dev"

echo "== unused packages, and packages that are not installed"
write_deploy_file ninja-build libssl-dev
write_record "named /usr/bin/ninja"
expect_report "libssl-dev: the build uses nothing of it"
write_deploy_file ninja-build libno-such-package-dev
expect_report "listed, but not installed here: libno-such-package-dev"

echo "== a build of a program with all of its packages listed"
PROGRAM=(g++ cmake ninja-build pkg-config libgoogle-glog-dev liblua5.4-dev)
OPTION=""
write_build() { # PACKAGE...
  write_deploy_file "$@"
  sed -i "s|^build = .*|build = \"cmake -S tests/processes/listed_packages -B target -G Ninja $OPTION \&\& ninja -C target\"|" \
    "$WORK/system.toml"
}
RECORD=()
write_build "${PROGRAM[@]}"
expect_pass
output="$(scripts/check-packages --deploy "$WORK/system.toml" --list)"
for file in include/lua5.4/lua.h libglog.pc; do
  if ! grep -qE "^lib(lua5.4|google-glog)-dev\s+listed\s.*/$file" <<<"$output"; then
    echo "not in the list of files: $file; but: $output"
    exit 1
  fi
done

echo "== the same program with one of its packages missing from the list"
for left_out in "${PROGRAM[@]}"; do
  rest=()
  for name in "${PROGRAM[@]}"; do [ "$name" = "$left_out" ] || rest+=("$name"); done
  write_build "${rest[@]}"
  expect_report "add it to packages in deploy/system.toml"
done
write_build g++ cmake ninja-build pkg-config libgoogle-glog-dev
# Of each package the first file is named, and the machine's kind is part of one header's path.
first_header="$({
  dpkg -L liblua5.4-dev | grep '/lua5.4-deb-multiarch.h$'
  echo /usr/include/lua5.4/lua.h
} | LC_ALL=C sort | head -n 1)"
expect_report "$first_header: is in liblua5.4-dev" "liblua5.4.so.0: is in liblua5.4-0"

echo "== the build runs a program of another package by its name"
for OPTION in -DRUN_BY_COMMAND=ccache -DRUN_BY_CMAKE=ccache; do
  write_build "${PROGRAM[@]}"
  expect_report "/usr/bin/ccache: is in ccache; add it to packages in deploy/system.toml"
  write_build "${PROGRAM[@]}" ccache
  expect_pass
done

echo "== a pkg-config module outside the system's folders"
OPTION=-DMODULE_OF_ITS_OWN=ON
write_build "${PROGRAM[@]}"
expect_report "the build has found the pkg-config module own, but it is in none of the system's folders"
if grep -q Traceback <<<"$(check)"; then echo "expected a message without a traceback: $(check)"; exit 1; fi
OPTION=""

echo "== a build that fails"
printf 'build = "echo no such header; exit 1"\npackages = ["g++"]\n' >"$WORK/system.toml"
expect_report "no such header" "the build of deploy/system.toml failed"
