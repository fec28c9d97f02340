#!/bin/sh
# Regenerates gen/wire from peer.proto. Needs protobuf-compiler and
# protobuf-compiler-grpc.
set -eu
cd "$(dirname "$0")"
protoc -I.. --cpp_out=gen --grpc_out=gen \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" wire/peer.proto
