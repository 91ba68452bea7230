"""Which reads of the store show less than another gateway already has."""

from sorrelhoist.decisions.peer_versions import VERSION_TTL_S, PeerVersions


def heard(version, now_s=1.0):
    versions = PeerVersions()
    versions.heard("gateway-2", version, now_s)
    return versions


def test_an_older_or_equal_version_of_a_peer_is_no_bound():
    versions = heard(7)
    assert not versions.is_newer_known(7, now_s=1.1)
    assert not versions.is_outdated(8, read_s=1.05, now_s=1.1)


def test_a_read_before_the_peer_had_its_version_is_not_outdated():
    versions = heard(7)
    assert versions.is_newer_known(6, now_s=1.1)
    assert not versions.is_outdated(6, read_s=0.9, now_s=1.1)
    assert versions.is_outdated(6, read_s=1.0, now_s=1.1)


def test_repeated_reports_do_not_move_the_time_at_which_a_version_was_learned():
    versions = heard(7)
    versions.heard("gateway-2", 7, now_s=2.5)
    assert versions.is_outdated(6, read_s=1.2, now_s=2.6)


def test_a_peer_that_is_silent_is_no_bound_any_more():
    versions = heard(7)
    assert versions.newest(1.0 + VERSION_TTL_S) is None
    assert not versions.is_newer_known(6, now_s=1.0 + VERSION_TTL_S)
