"""Runs every group of measures, which compare the product with naive versions.

``python -m benchmarks.measure`` writes ``build/measures.json``.
"""

from __future__ import annotations

import subprocess
import sys

MEASURES = (
    "benchmarks.measure_dispatch",
    "benchmarks.measure_configuration",
    "benchmarks.measure_outcomes",
)


def main() -> int:
    """Run the measures; return how many modules ended with a non-zero status."""
    failed = 0
    for module in MEASURES:
        print(f"== {module}", flush=True)
        finished = subprocess.run([sys.executable, "-m", module], check=False)
        failed += finished.returncode != 0
    return failed


if __name__ == "__main__":
    sys.exit(main())
