import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.exceptions import SettingsError
from sorrelhoist.settings import load_settings, parse_settings

VALID = {
    "role": "entry",
    "node_id": "entry-1",
    "host": "host-1",
    "failure_domain": "praha-a",
    "address": "127.0.0.1",
    "http_port": 8080,
    "peer_port": 8081,
    "platform_url": "http://127.0.0.1:1",
    "stream_key": "0123456789abcdef",
}
ENDPOINT = {"name": "e-1", "url": "http://127.0.0.1:2"}


def parse(changes):
    return parse_settings(yaml.safe_dump(VALID | changes), "entry.yaml")


def test_valid_settings_are_parsed():
    assert parse({"lease_s": 2}).lease_s == 2.0
    agent = parse({"role": "agent", "endpoint": ENDPOINT})
    assert agent.endpoint.type == "engine"


@pytest.mark.parametrize(
    ("changes", "expected_key"),
    [
        ({"role": "broker"}, "role"),
        ({"role": "agent"}, "endpoint"),
        ({"endpoint": ENDPOINT}, "endpoint"),
        ({"node_id": ""}, "node_id"),
        ({"node_id": "a b"}, "node_id"),
        ({"address": "localhost"}, "address"),
        ({"http_port": 70_000}, "http_port"),
        ({"http_port": "8080"}, "http_port"),
        ({"http_port": True}, "http_port"),
        ({"peer_port": -1}, "peer_port"),
        ({"platform_url": "127.0.0.1"}, "platform_url"),
        ({"stream_key": "short"}, "stream_key"),
        ({"seeds": ["nowhere"]}, "seeds"),
        ({"seeds": "127.0.0.1:1"}, "seeds"),
        ({"operator_key_sha256": ["abc"]}, "operator_key_sha256"),
        ({"lease_s": 0}, "lease_s"),
        ({"drain_timeout_s": "long"}, "drain_timeout_s"),
        ({"log_level": "LOUD"}, "log_level"),
        ({"lease": 3}, "lease"),
        ({"role": "agent", "endpoint": ENDPOINT | {"type": "disk"}}, "type"),
        ({"role": "agent", "endpoint": ENDPOINT | {"name": ""}}, "name"),
        ({"role": "agent", "endpoint": ENDPOINT | {"port": 1}}, "port"),
    ],
)
def test_invalid_settings_are_refused_with_the_key_named(changes, expected_key):
    with pytest.raises(SettingsError) as refused:
        parse(changes)
    assert (
        expected_key in refused.value.message and "entry.yaml" in refused.value.message
    )
    assert refused.value.remedy


@pytest.mark.parametrize("text", ["", "[]", "a: [", "\x00", "3"])
def test_text_that_is_not_a_mapping_is_refused(text):
    with pytest.raises(SettingsError):
        parse_settings(text)


def test_unreadable_file_is_refused(tmp_path):
    for path in (tmp_path / "none.yaml", tmp_path):
        with pytest.raises(SettingsError):
            load_settings(path)


VALUES = st.none() | st.integers() | st.floats() | st.text() | st.lists(st.text())


@given(st.dictionaries(st.sampled_from([*VALID, "seeds", "lease_s", "region"]), VALUES))
def test_fuzz_settings_are_parsed_or_refused(changes):
    try:
        parse(changes)
    except SettingsError as error:
        assert error.message
