"""Paths that were answered."""

import sycamoreloft_direct


# Guards against a path in use that is blamed for the crash of an upstream.
def test_an_answered_path_is_known_for_any_query():
    paths = sycamoreloft_direct.AnsweredPaths()
    paths.record("GET", "/heat?page=1", 1.0)
    assert paths.contains("GET", "/heat?page=2", 2.0)
    assert paths.contains("GET", "/heat", 2.0)


# Guards against a crashing request that passes for a path in use.
def test_other_paths_are_mostly_not_known():
    paths = sycamoreloft_direct.AnsweredPaths()
    for number in range(1_000):
        paths.record("GET", f"/heat/{number}", 1.0)
    wrong = sum(
        paths.contains("GET", f"/other/{number}", 2.0)
        for number in range(10_000)
    )
    assert wrong < 100


def test_an_answer_is_forgotten_after_a_minute():
    paths = sycamoreloft_direct.AnsweredPaths()
    paths.record("GET", "/heat", 1.0)
    assert paths.contains("GET", "/heat", 40.0)
    assert not paths.contains("GET", "/heat", 75.0)
    paths.record("GET", "/heat", 80.0)
    assert not paths.contains("GET", "/heat", 500.0)
