#!/usr/bin/env python3
"""Fails on two forms of co_await that GCC 12 miscompiles.

A braced temporary in the expression is destroyed twice (observed as "free(): invalid pointer" in the VM list poll).
With a co_await in its condition, a loop never exits (observed as an owner that spins after a takeover). A named
variable in the preceding statement avoids both.
"""
import pathlib
import re
import sys

LOOP = re.compile(r"\bwhile\s*\((?:[^(){};]|\([^()]*\))*co_await")
BRACED = re.compile(r"co_await\s+[^;{}\[\]]*[(,]\s*\{")


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    failed = False
    for folder in ("src", "platform", "tests", "benchmarks"):
        for path in sorted((root / folder).rglob("*")):
            if path.suffix not in (".cpp", ".h"):
                continue
            text = path.read_text()
            for pattern, problem in ((BRACED, "braced temporary in a co_await expression"),
                                     (LOOP, "co_await in the condition of a loop")):
                for match in pattern.finditer(text):
                    line = text.count("\n", 0, match.start()) + 1
                    print(f"{path.relative_to(root)}:{line}: {problem}")
                    failed = True
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
