#!/usr/bin/env bash
# Generates the Go code of the protocol between nodes. It needs protoc; its Go
# plugins are tools of this module.
set -euo pipefail
cd "$(dirname "$0")/peerpb"
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$plugins/protoc-gen-go-grpc" google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$plugins:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
# The compiler's version stands in the code's head and differs between machines.
sed -i '/^\/\/ .*protoc  *v/d; /^\/\/ - protoc  *v/d' ./*.pb.go
