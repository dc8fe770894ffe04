"""Named weights versions: what is missing, and which version may still begin requests."""

from wallwell.deployment.weights import WeightsTargets


def named(*versions, estimated=False):
    targets = WeightsTargets()
    for version, since_s in versions:
        targets.add_version("m", version, since_s, estimated)
    return targets


def test_only_newer_names_count():
    targets = named((2, 10.0))
    assert not targets.add_version("m", 2, 11.0)
    assert not targets.add_version("m", 1, 11.0)
    assert targets.add_version("m", 5, 12.0)
    assert targets.newest_version("m") == 5
    assert targets.newest_version("other") == 0


def test_the_oldest_missing_version_sets_the_time():
    targets = named((2, 10.0), (3, 13.0))
    assert targets.oldest_missing("m", 1).version == 2
    assert targets.oldest_missing("m", 2).version == 3
    assert targets.oldest_missing("m", 3) is None


def test_each_version_is_due_by_itself():
    targets = named((2, 10.0), (3, 13.0))
    assert targets.min_allowed_version("m", 15.0, 6.0, newest_loaded_version=1) == 0
    assert targets.min_allowed_version("m", 16.0, 6.0, newest_loaded_version=1) == 2
    assert targets.min_allowed_version("m", 19.0, 6.0, newest_loaded_version=1) == 3


def test_a_guessed_age_never_rules_out_every_engine():
    targets = named((2, 10.0), estimated=True)
    assert targets.min_allowed_version("m", 30.0, 6.0, newest_loaded_version=1) == 0
    assert targets.min_allowed_version("m", 30.0, 6.0, newest_loaded_version=2) == 2


def test_a_recorded_age_replaces_a_guess_but_not_what_was_seen():
    targets = named((5, 50.0), estimated=True)
    targets.set_recorded_naming_time("m", 5, 41.0)
    targets.set_recorded_naming_time("m", 3, 30.0)
    assert [(each.version, each.named_at_s) for each in targets.versions_of_known_age("m")] == [
        (3, 30.0),
        (5, 41.0),
    ]
    seen = named((5, 50.0))
    seen.set_recorded_naming_time("m", 5, 41.0)
    assert seen.oldest_missing("m", 1).named_at_s == 50.0
