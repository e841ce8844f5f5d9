#!/usr/bin/env bash
# Generates the Go code of the protocol between nodes. It requires protoc; the Go
# plugins are tool dependencies of this module.
set -euo pipefail
cd "$(dirname "$0")/peerpb"
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$plugins/protoc-gen-go-grpc" google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$plugins:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
# Remove the protoc version from the file headers, because it differs between machines.
sed -i '/^\/\/ .*protoc  *v/d; /^\/\/ - protoc  *v/d' ./*.pb.go
