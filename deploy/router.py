"""Starts a host from a checkout, without installing the packages."""

import gc
import pathlib
import sys

# What the imports create stays: the collector would look at all of it again
# and again, during the start and later.
gc.disable()

_ROOT = pathlib.Path(__file__).resolve().parents[1]

# At the end, so that modules of the standard library are not looked for in
# these folders.
for _folder in ("packages/direct", "packages/router", "platform"):
    sys.path.append(str(_ROOT / _folder))

from sycamoreloft_platform import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    main.run()
