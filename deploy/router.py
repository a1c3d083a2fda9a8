"""Starts a host from a checkout, without installing the packages."""

import pathlib
import sys

_ROOT = pathlib.Path(__file__).resolve().parents[1]

for _folder in ("packages/direct", "packages/router", "platform"):
    sys.path.insert(0, str(_ROOT / _folder))

from sycamoreloft_platform import main  # noqa: E402

if __name__ == "__main__":
    main.run()
