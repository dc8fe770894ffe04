"""Named weights versions: which version an engine lacks, and on which versions requests may begin."""

from wallwell.deployment.weights import WeightsTargets


def targets_of(*versions, estimated=False):
    targets = WeightsTargets()
    for version, named_at_s in versions:
        targets.add_version("m", version, named_at_s, estimated)
    return targets


def test_only_newer_versions_are_added():
    targets = targets_of((2, 10.0))
    assert not targets.add_version("m", 2, 11.0)
    assert not targets.add_version("m", 1, 11.0)
    assert targets.add_version("m", 5, 12.0)
    assert targets.newest_version("m") == 5
    assert targets.newest_version("other") == 0


def test_oldest_missing_version():
    targets = targets_of((2, 10.0), (3, 13.0))
    assert targets.oldest_missing("m", 1).version == 2
    assert targets.oldest_missing("m", 2).version == 3
    assert targets.oldest_missing("m", 3) is None


def test_each_version_is_required_a_fixed_time_after_its_naming():
    targets = targets_of((2, 10.0), (3, 13.0))
    assert targets.min_allowed_version("m", 15.0, 6.0, newest_loaded=1) == 0
    assert targets.min_allowed_version("m", 16.0, 6.0, newest_loaded=1) == 2
    assert targets.min_allowed_version("m", 19.0, 6.0, newest_loaded=1) == 3


def test_an_estimated_age_never_excludes_every_engine():
    targets = targets_of((2, 10.0), estimated=True)
    assert targets.min_allowed_version("m", 30.0, 6.0, newest_loaded=1) == 0
    assert targets.min_allowed_version("m", 30.0, 6.0, newest_loaded=2) == 2


def test_a_recorded_naming_time_replaces_an_estimate_but_not_an_observation():
    targets = targets_of((5, 50.0), estimated=True)
    targets.set_recorded_naming_time("m", 5, 41.0)
    targets.set_recorded_naming_time("m", 3, 30.0)
    assert [(each.version, each.named_at_s) for each in targets.versions_of_known_age("m")] == [
        (3, 30.0),
        (5, 41.0),
    ]
    observed = targets_of((5, 50.0))
    observed.set_recorded_naming_time("m", 5, 41.0)
    assert observed.oldest_missing("m", 1).named_at_s == 50.0
