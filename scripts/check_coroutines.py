#!/usr/bin/env python3
"""Fails when a co_await expression holds a braced temporary.

GCC 12 destroys aggregate temporaries of such an expression twice (seen as "free(): invalid pointer" in the VM list
poll). A named variable in the statement before avoids it.
"""
import pathlib
import re
import sys

BRACED = re.compile(r"co_await\s+[^;{}\[\]]*[(,]\s*\{")


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    failed = False
    for folder in ("src", "tests", "benchmarks"):
        for path in sorted((root / folder).rglob("*")):
            if path.suffix not in (".cpp", ".h"):
                continue
            text = path.read_text()
            for match in BRACED.finditer(text):
                line = text.count("\n", 0, match.start()) + 1
                print(f"{path.relative_to(root)}:{line}: braced temporary in a co_await expression")
                failed = True
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
