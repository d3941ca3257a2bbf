#!/usr/bin/env bash
# A build folder copied from a machine of the same architecture is kept. One from another
# architecture is created again, since ninja would consider its objects up to date although they
# cannot be linked.
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK="$(mktemp -d)"
trap 'rm -rf "$WORK"' EXIT
FOLDER="$WORK/build"
OBJECT=src/CMakeFiles/eelgrass_kernel.dir/kernel/base/settings.cc.o

configure() { scripts/configure "$FOLDER" -DEELGRASS_DEPLOY=ON >"$WORK/output" 2>&1; }
build_object() { ninja -C "$FOLDER" "$OBJECT" >/dev/null; }
expect() { # DESCRIPTION COMMAND...
  if ! "${@:2}"; then echo "check failed: $1"; cat "$WORK/output"; exit 1; fi
}
folder_removed() { grep -q "starting anew" "$WORK/output"; }
folder_not_removed() { ! folder_removed; }
object_is_valid() { objdump -f "$FOLDER/$OBJECT" >/dev/null 2>&1; }

echo "== a new folder"
configure
expect "the folder is not removed" folder_not_removed
build_object
expect "the object is valid on this machine" object_is_valid

echo "== the same folder again"
touch "$FOLDER/kept"
configure
expect "the folder is not removed" folder_not_removed
expect "the folder is kept" test -e "$FOLDER/kept"

echo "== a folder from another architecture"
touch -r "$FOLDER/$OBJECT" "$WORK/time"
echo "an object of another machine" >"$FOLDER/$OBJECT"
touch -r "$WORK/time" "$FOLDER/$OBJECT"
sed -i 's/^set(CMAKE_HOST_SYSTEM_PROCESSOR .*/set(CMAKE_HOST_SYSTEM_PROCESSOR "pdp11")/' \
  "$FOLDER"/CMakeFiles/*/CMakeSystem.cmake
configure
expect "both architectures are named" grep -q "made on pdp11, this machine is $(uname -m)" "$WORK/output"
expect "the folder was created again" test ! -e "$FOLDER/kept"
build_object
expect "the object is valid on this machine" object_is_valid
