"""Builds dist/hornbeamramp, one file that runs with the Python version of the build.

Copies the package and the installed distributions of its runtime dependencies to a staging
directory and packs them with shiv. Nothing is downloaded. At its first start, the file unpacks
itself below ``SHIV_ROOT`` (default ``~/.shiv``) and continues in the same process.
"""

import importlib.metadata
import re
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STAGING_DIR = ROOT / "build" / "binary"
TARGET = ROOT / "dist" / "hornbeamramp"


def runtime_distributions() -> list[importlib.metadata.Distribution]:
    """Returns the installed distributions of the runtime and transitive dependencies."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    requirements = list(project["dependencies"])
    by_name: dict[str, importlib.metadata.Distribution] = {}
    while requirements:
        requirement = requirements.pop()
        name, _, marker = requirement.partition(";")
        name = re.match(r"[\w.-]+", name.strip()).group().lower()
        if "extra" in marker or name in by_name:
            continue
        try:
            by_name[name] = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            # Not installed because it is for another platform or Python version.
            continue
        requirements += by_name[name].requires or []
    return [by_name[name] for name in sorted(by_name)]


def copy_distribution(distribution: importlib.metadata.Distribution) -> None:
    """Copies the files of a distribution that are in site-packages to the staging directory."""
    for file in distribution.files or []:
        if ".." in file.parts or file.suffix == ".pyc":
            continue
        target = STAGING_DIR / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(file.locate(), target)


def main() -> None:
    """Builds the file and prints its path and size."""
    shutil.rmtree(STAGING_DIR, ignore_errors=True)
    STAGING_DIR.mkdir(parents=True)
    for distribution in runtime_distributions():
        copy_distribution(distribution)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "hornbeamramp", STAGING_DIR / "hornbeamramp", ignore=ignored)
    TARGET.parent.mkdir(exist_ok=True)
    command = [sys.executable, "-m", "shiv", "--site-packages", str(STAGING_DIR), "--reproducible"]
    command += ["-p", "/usr/bin/env python3", "-e", "hornbeamramp.cli:main", "-o", str(TARGET)]
    subprocess.run(command, check=True)
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
