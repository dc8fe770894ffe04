"""Starts a router from a checkout; the dependencies are on the path already."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from wallwell.platform.main import main

sys.exit(main())
