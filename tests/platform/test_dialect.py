"""What endpoints say of themselves in their headers, and malformed values."""

import pytest
from tornado.httputil import HTTPHeaders

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
