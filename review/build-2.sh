#!/bin/sh
# Builds the stand-ins of the second review's scripts, and the project's own that they use, into
# target/review-2/. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake --build target --target mmx_adapter -j8
out=target/review-2
mkdir -p "$out"
rm -f "$out"/*.o
flags="-std=c++20 -O1 -Wall -I. -Isrc -Ireview -DASIO_STANDALONE -DRESTINIO_USE_EXTERNAL_EXPECTED_LITE=0"
pids=
for source in review/rig-2.cc review/cases-2.cc platform/testing/soak/soak_store.cc \
  platform/testing/soak/faulty_listener.cc platform/testing/soak/unanswered_calls.cc \
  platform/testing/soak/daemon_process.cc; do
  ${CXX:-g++} $flags -c "$source" -o "$out/$(basename "$source" .cc).o" &
  pids="$pids $!"
done
for pid in $pids; do
  wait "$pid"
done
libraries=$(find target -name '*.a')
${CXX:-g++} -o "$out/cases-2" "$out"/*.o -Wl,--start-group $libraries -Wl,--end-group \
  -lyaml-cpp -lcurl -lfmt -lhttp_parser -lglog -lsodium -lxxhash -lz -lboost_program_options -lpthread
