"""Which reads of the store show less than another gateway already has."""

from sorrelhoist.decisions.peer_configurations import (
    PEER_TTL_S,
    PeerConfigurations,
    PeerContact,
)


def heard(version, now_s=1.0):
    peers = PeerConfigurations()
    peers.heard("gateway-2", version, now_s, now_s)
    return peers


def test_an_older_or_equal_version_of_a_peer_is_no_bound():
    peers = heard(7)
    assert not peers.is_newer_known(7, now_s=1.1)
    assert not peers.is_outdated(8, read_s=1.05, now_s=1.1)


def test_a_read_before_the_peer_had_its_version_is_not_outdated():
    peers = heard(7)
    assert peers.is_newer_known(6, now_s=1.1)
    assert not peers.is_outdated(6, read_s=0.9, now_s=1.1)
    assert peers.is_outdated(6, read_s=1.0, now_s=1.1)


def test_repeated_reports_do_not_move_the_time_at_which_a_version_was_learned():
    peers = heard(7)
    peers.heard("gateway-2", 7, confirmed_s=2.4, now_s=2.5)
    assert peers.is_outdated(6, read_s=1.2, now_s=2.6)


def test_a_peer_that_is_silent_is_no_bound_any_more():
    peers = heard(7)
    assert peers.newest(1.0 + PEER_TTL_S) is None
    assert not peers.is_newer_known(6, now_s=1.0 + PEER_TTL_S)


def test_contact_of_peers_with_the_store():
    peers = PeerConfigurations()
    assert peers.contact(max_age_s=4.2, now_s=5.0) is PeerContact.UNKNOWN
    peers.heard("gateway-2", 7, confirmed_s=0.5, now_s=5.0)
    assert peers.contact(max_age_s=4.2, now_s=5.0) is PeerContact.LOST
    peers.heard("gateway-3", 7, confirmed_s=4.0, now_s=5.0)
    assert peers.contact(max_age_s=4.2, now_s=5.0) is PeerContact.FRESH
    assert peers.contact(max_age_s=4.2, now_s=5.0 + PEER_TTL_S) is PeerContact.UNKNOWN


def test_peers_that_have_only_just_started_are_no_outage():
    # In a power fault each gateway refused by the reports of others that were starting.
    peers = PeerConfigurations()
    peers.heard("gateway-2", 7, confirmed_s=1.0 - 2**31 / 1000, now_s=1.0)
    assert peers.contact(4.2, 1.1) is PeerContact.LOST
    assert peers.outage(4.2, 1.1) is PeerContact.UNKNOWN
    peers.heard("gateway-3", 7, confirmed_s=-9.0, now_s=1.0)
    assert peers.outage(4.2, 1.1) is PeerContact.LOST
