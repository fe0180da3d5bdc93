#!/bin/bash
# Builds the stand-in that the scripts of the cases 6 to 10 start, into review/bin (not under
# version control). The build of the deploy file must have been run before.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
lib=../target/release/libdamaskpath.a
[ -f "$lib" ] || { echo "$lib is missing: build as deploy/system.toml says" >&2; exit 2; }
libs="glib-2.0 jansson libcurl libmicrohttpd"
gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-unused-but-set-variable -pthread \
	$(for d in base transport protocol state workload; do echo "-iquote ../packages/$d"; done) \
	$(pkg-config --cflags $libs) -o bin/platform-2 standin-2/platform.c "$lib" \
	$(pkg-config --libs $libs) -lfyaml -lmsgpackc -largtable2 -lck -lxxhash -lm
