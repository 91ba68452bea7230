"""Tests of loading folders of documents, among them the examples."""

from pathlib import Path

import pytest

from sorrelhoist.decisions.documents import Endpoint
from sorrelhoist.exceptions import DocumentError
from sorrelhoist.node.configuration_folder import load_folder

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("name", "model_endpoints", "plain_endpoints", "workspaces"),
    [("kasparek", 16, 3, 10), ("gvari", 23, 3, 10), ("kasparek-demo", 5, 1, 4)],
)
def test_examples_load_without_problems(
    name, model_endpoints, plain_endpoints, workspaces
):
    configuration = load_folder(EXAMPLES / name).unwrap()
    endpoints = configuration.endpoints.values()
    assert sum(bool(item.model) for item in endpoints) == model_endpoints
    assert sum(not item.model for item in endpoints) == plain_endpoints
    assert len(configuration.workspaces) == workspaces
    assert len(configuration.failure_domains) == 3
    assert all(isinstance(item, Endpoint) for item in endpoints)


def test_missing_folder_is_refused():
    with pytest.raises(DocumentError):
        load_folder(Path("no-such-folder"))


def test_unreadable_file_is_reported_together_with_other_problems(tmp_path):
    (tmp_path / "one.yaml").write_bytes(b"\xff\xfe")
    (tmp_path / "sub").mkdir()
    (tmp_path / "sub" / "two.yml").write_text("kind: X\n")
    (tmp_path / "notes.txt").write_text("[")
    problems = load_folder(tmp_path).failure()
    assert [item.location.file for item in problems.items] == [
        "one.yaml",
        "sub/two.yml",
    ]
