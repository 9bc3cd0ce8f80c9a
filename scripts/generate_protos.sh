#!/usr/bin/env bash
# Regenerates the committed protobuf code in the generated/ folder beside each .proto file.
set -euo pipefail
cd "$(dirname "$0")/../src"
protoc --cpp_out=. $(find dandelionstand -name '*.proto')
for proto in $(find dandelionstand -name '*.proto'); do
  folder="$(dirname "$proto")"
  mkdir -p "$folder/generated"
  for file in "${proto%.proto}".pb.h "${proto%.proto}".pb.cc; do
    sed -E 's#"(dandelionstand/[a-z/]+)/([a-z_]+)\.pb\.h"#"\1/generated/\2.pb.h"#' "$file" > "$folder/generated/$(basename "$file")"
    rm "$file"
  done
done
