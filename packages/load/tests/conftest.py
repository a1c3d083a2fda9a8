"""Makes the simulated world importable by the tests."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
