#!/bin/bash
# Builds the stand-ins that the scripts of the cases start, into review/bin (not under version control).
set -eu
cd "$(dirname "$0")"
mkdir -p bin
gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -pthread -o bin/platform standin/platform.c \
	$(pkg-config --cflags --libs jansson)
gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o bin/ask standin/ask.c
