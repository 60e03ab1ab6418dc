#!/bin/sh
# The stand-ins are Python programs of the standard library; nothing is built, only compiled once.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c 'import pathlib; [compile(p.read_text(), str(p), "exec") for p in pathlib.Path("review").rglob("*.py")]'
