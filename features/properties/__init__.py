"""Properties and focused tests; the adapter to the platform is importable in them."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "platform"))
