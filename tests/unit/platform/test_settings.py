"""Regions in the settings file; without them, all zones are in one region."""

import pytest

from wallwell.deployment.topology import Distance
from wallwell.platform.settings import load_platform_settings

BASE = """
node = "n1"
zone = "a1"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[provider]
addr = "127.0.0.1:3"
"""
REGIONS = """
[zones]
a1 = "a"
a2 = "a"
b1 = "b"
"""


@pytest.mark.parametrize(
    ("text", "distances"),
    [
        (BASE, (Distance.SAME_REGION, Distance.SAME_REGION)),
        ('region = "a"\n' + BASE, (Distance.SAME_REGION, Distance.SAME_REGION)),
        ('region = "a"\n' + BASE + REGIONS, (Distance.SAME_REGION, Distance.OTHER_REGION)),
        (BASE + REGIONS, (Distance.SAME_REGION, Distance.OTHER_REGION)),
    ],
    ids=["absent", "region only", "both", "map only"],
)
def test_distance_of_zones_follows_the_settings(tmp_path, text, distances):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    loaded = load_platform_settings(str(path)).topology()
    assert (loaded.distance_to("a2"), loaded.distance_to("b1")) == distances
