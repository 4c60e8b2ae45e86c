#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -I. -Isrc -DASIO_STANDALONE -DRESTINIO_USE_EXTERNAL_EXPECTED_LITE=0)
sources=(review/rig.cc review/cases.cc platform/testing/soak/soak_store.cc
  platform/testing/soak/faulty_listener.cc platform/testing/soak/daemon_process.cc)
objects=()
for source in "${sources[@]}"; do
  object="target/review/$(basename "$source" .cc).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
g++ "${objects[@]}" -o target/review/review_case target/platform/libmmx_adapter.a \
  target/src/cell/libmmx_cell.a target/src/decide/libmmx_decide.a target/src/model/libmmx_model.a \
  target/src/async/libmmx_async.a target/src/http/libmmx_http.a target/src/base/libmmx_base.a \
  -lcurl -lhttp_parser -lfmt -lz -lxxhash -lyaml-cpp -lpthread
