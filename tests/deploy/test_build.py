"""Build folders that are carried over or that a build left half done."""

import importlib.util
from pathlib import Path

import pytest

CHECKOUT = Path(__file__).resolve().parents[2]
spec = importlib.util.spec_from_file_location("build", CHECKOUT / "deploy" / "build.py")
deploy_build = importlib.util.module_from_spec(spec)
spec.loader.exec_module(deploy_build)


@pytest.fixture
def checkout(tmp_path):
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "requirements.txt").write_text("attrs\n")
    (tmp_path / "constraints.txt").write_text("attrs==26.1.0\n")
    return tmp_path


def install(checkout, folder):
    (folder / "attrs.py").write_text("")


def test_dependencies_that_are_there_are_not_installed_again(checkout):
    assert deploy_build.build(checkout, install)
    assert not deploy_build.build(checkout, install)


def test_a_folder_from_another_kind_of_machine_is_replaced(checkout, monkeypatch):
    monkeypatch.setattr(deploy_build.platform, "machine", lambda: "x86_64")
    deploy_build.build(checkout, install)
    (checkout / "target" / "deps" / "extension.x86_64-linux-gnu.so").write_text("")
    monkeypatch.setattr(deploy_build.platform, "machine", lambda: "aarch64")
    assert deploy_build.build(checkout, install)
    assert [p.name for p in (checkout / "target" / "deps").iterdir()] == ["attrs.py"]


def test_a_folder_of_an_interrupted_build_is_replaced(checkout):
    def interrupted(checkout, folder):
        (folder / "half.py").write_text("")
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        deploy_build.build(checkout, interrupted)
    assert deploy_build.build(checkout, install)
    assert [p.name for p in (checkout / "target" / "deps").iterdir()] == ["attrs.py"]


@pytest.mark.parametrize("name", ("deploy/requirements.txt", "constraints.txt"))
def test_other_versions_are_installed(checkout, name):
    deploy_build.build(checkout, install)
    (checkout / name).write_text("attrs==25.4.0\n")
    assert deploy_build.build(checkout, install)
