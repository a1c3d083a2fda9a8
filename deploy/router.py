"""Starts a host from a source checkout, without installing the packages."""

import gc
import pathlib
import sys

# Objects created by imports live as long as the process. Collection is off
# during the imports, and `gc.freeze` below excludes these objects from later
# collections, which would otherwise visit all of them each time.
gc.disable()

_ROOT = pathlib.Path(__file__).resolve().parents[1]

# Appended, not prepended: imports of the standard library are found first,
# without a search in these folders.
for _folder in (
    "packages/direct",
    "packages/load",
    "packages/router",
    "platform",
):
    sys.path.append(str(_ROOT / _folder))

from sycamoreloft_platform import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    main.run()
