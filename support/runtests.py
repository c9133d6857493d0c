"""Runs the CppUTest binaries of a build folder, test groups in parallel, and sums up their results.

Tests named in KNOWN-RED.txt ("test: package Group.Name" lines) may fail; they are printed and do not
change the exit status. A listed test that passes is printed too, so that its entry can be removed.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

TEST_TIMEOUT_S = 3600


def known_red() -> set[str]:
    path = pathlib.Path("KNOWN-RED.txt")
    if not path.exists():
        return set()
    return set(re.findall(r"^test: (\S+ \S+)", path.read_text(encoding="utf-8"), re.M))


def groups(binary: pathlib.Path) -> list[str]:
    listed = subprocess.run([binary, "-lg"], capture_output=True, text=True, timeout=TEST_TIMEOUT_S,
                            errors="replace")
    return sorted(set(listed.stdout.split()))


def run(binary: pathlib.Path, group: str) -> tuple[set[str], set[str]]:
    """Returns the names of the passed and of the failed tests of one group of a binary."""
    package = binary.name.removesuffix("_test")
    try:
        process = subprocess.run([binary, "-v", "-sg", group], capture_output=True, text=True,
                                 timeout=TEST_TIMEOUT_S, errors="replace")
        output, errors, status = process.stdout, process.stderr, process.returncode
    except subprocess.TimeoutExpired as error:
        output, errors, status = (error.stdout or b"").decode(errors="replace"), "timed out", -1
    started = re.findall(r"^TEST\((\w+), (\w+)\)", output, re.M)
    names = {f"{package} {name}.{test}" for name, test in started}
    failed = {f"{package} {name}.{test}"
              for name, test in re.findall(r"Failure in TEST\((\w+), (\w+)\)", output)}
    if not names or (status != 0 and not failed):
        failed.add(f"{package} {group}.exit_{status}")
    if failed:
        print(output[-8000:], errors[-8000:], sep="\n")
    return names - failed, failed


def main() -> int:
    build = pathlib.Path(sys.argv[1])
    wanted = set(sys.argv[2:])
    binaries = [b for b in sorted(build.glob("*/*_test"))
                if not wanted or b.name.removesuffix("_test") in wanted]
    tasks = [(binary, group) for binary in binaries for group in groups(binary)]
    if len({binary for binary, _ in tasks}) < len(binaries):
        print("a test binary lists no group")
        return 1
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(lambda task: run(*task), tasks))
    for binary in binaries:
        own = [result for (other, _), result in zip(tasks, results) if other == binary]
        print(f"{binary.name.removesuffix('_test')}: {sum(len(p) for p, _ in own)} passed, "
              f"{sum(len(f) for _, f in own)} failed", flush=True)
    passed = set().union(*(p for p, _ in results))
    failed = set().union(*(f for _, f in results))
    red = known_red()
    for name in sorted(failed & red):
        print(f"known red: {name}")
    for name in sorted(passed & red):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    print(f"total: {len(passed)} passed, {len(failed - red)} failed")
    return 1 if failed - red or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
