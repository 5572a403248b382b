#!/bin/sh
# Checks that the stand-ins and scripts of the second review compile. They use the standard library
# of Python only, so there is nothing to build or to install.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'P'
import pathlib

paths = [pathlib.Path("harness2.py"), *(pathlib.Path(f"{n}/case.py") for n in range(6, 11))]
for path in filter(pathlib.Path.is_file, paths):
    compile(path.read_text("utf-8"), str(path), "exec")
    print(f"{path} compiles")
P
