#!/usr/bin/env bash
# Regenerates the committed thrift modules from src/cyclamendale/peer/idl.
set -eu
cd "$(dirname "$0")"
out=src/cyclamendale/peer/generated
for idl in src/cyclamendale/peer/idl/*.thrift; do
  thrift --gen py:package_prefix=cyclamendale.peer.generated. -out "$out" "$idl"
done
