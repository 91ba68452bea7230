"""What endpoints say of themselves in their headers, and malformed values."""

import pytest
from tornado.httputil import HTTPHeaders

from sorrelhoist.exceptions import InvalidRequestError
from sorrelhoist.platform.dialect import PlatformDialect


@pytest.mark.parametrize(
    "text, limit_per_s",
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e300", None),
        ("some", None),
        ("", None),
    ],
)
def test_limit_of_an_answer(text, limit_per_s):
    notice = PlatformDialect().read_notice(200, HTTPHeaders({"Server-Limit": text}))
    assert notice.limit_per_s == limit_per_s


def test_an_answer_without_a_limit_names_none():
    assert PlatformDialect().read_notice(503, HTTPHeaders()).limit_per_s is None


def test_an_answer_of_another_endpoint_says_nothing():
    headers = HTTPHeaders({"Server-Limit": "2"})
    assert PlatformDialect().read_notice(421, headers) is None


def test_a_malformed_value_is_logged_once(caplog):
    dialect = PlatformDialect()
    for _ in range(3):
        dialect.read_notice(200, HTTPHeaders({"Server-Limit": "some"}))
    assert [record.value for record in caplog.records] == ["some"]


@pytest.mark.parametrize(
    "status, text, pause_s",
    [
        (503, "2", 2.0),
        (503, "0.25", 0.25),
        (503, "1e9", 1e9),
        (503, "-1", None),
        (503, "soon", None),
        (503, "nan", None),
        (200, "2", None),
        (429, "2", None),
    ],
)
def test_pause_that_a_refusal_asks_for(status, text, pause_s):
    headers = HTTPHeaders({"Retry-After": text, "X-Not-Executed": "1"})
    notice = PlatformDialect().read_notice(status, headers)
    assert notice.pause_s == pause_s


@pytest.mark.parametrize(
    "text, is_leaving", [("1", True), ("0", False), ("yes", False), ("", False)]
)
def test_leaving_of_an_answer(text, is_leaving):
    headers = HTTPHeaders({"Server-Leaving": text})
    assert PlatformDialect().read_notice(200, headers).is_leaving is is_leaving


def test_an_answer_that_blames_another_endpoint_asks_for_no_pause_as_full():
    headers = HTTPHeaders(
        {"Retry-After": "2", "X-Not-Executed": "1", "At-Server": "10.0.0.1:80"}
    )
    assert not PlatformDialect().parse_decline(503, headers).asks_for_pause


@pytest.mark.parametrize(
    "text", ["9" * 400, "-", "1e5", "", "-1", "nan", "inf", "1_0", "\xb2"]
)
@pytest.mark.parametrize("name", ["X-Deadline-Ms", "X-Token-Count"])
def test_a_number_of_a_caller_that_is_odd_is_invalid(name, text):
    headers = HTTPHeaders({"X-Attempt-Id": "r-1", name: text})
    with pytest.raises(InvalidRequestError):
        PlatformDialect().read_request("GET", "/", headers, b"")
