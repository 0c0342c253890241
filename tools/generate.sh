#!/usr/bin/env bash
# Generates the Go code for the .proto files in api/. Requires protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
for p in google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go; do
	go build -C tools -o "$plugins/$(basename $p)" "$p"
done
PATH="$plugins:$PATH" protoc -I api --go_out=api --go_opt=paths=source_relative \
	--connect-go_out=api --connect-go_opt=paths=source_relative \
	peer/v1/peer.proto admin/v1/admin.proto node/v1/node.proto
