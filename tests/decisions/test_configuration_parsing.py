"""Each problem of a document is reported with its kind, location and remedy."""

import pytest
from returns.result import Failure

from sorrelhoist.decisions.configuration_parsing import (
    AcceptedParser,
    SourceText,
    number_documents,
    parse_documents,
    parse_texts,
)
from sorrelhoist.decisions.documents import DocumentSet

KEY = "a" * 64
DOMAIN = "kind: FailureDomain\nname: d\n"
MODEL = """kind: Model
name: m
version: "3"
context_tokens: 1000
long_prompt_tokens: 100
"""
SERVICE = 'kind: Service\nname: s\ntype: model\nmodels: [{name: m, version: "3"}]\n'
PLAIN = "kind: Service\nname: p\ntype: plain\nat_most_once: true\n"
WORKSPACE = f"kind: Workspace\nname: w\nkey_sha256: [{KEY}]\nmodels: [m]\n"
ENDPOINT = """kind: Endpoint
name: e
failure_domain: d
service: s
model: m
kv_capacity_tokens: 10
prefill_tokens_per_s: 10
max_running_requests: 4
"""
COMPLETE_SET = [DOMAIN, MODEL, SERVICE, PLAIN, WORKSPACE, ENDPOINT]


def parse(*documents):
    return parse_texts([SourceText("file.yaml", "---\n".join(documents))])


def test_complete_set_is_indexed():
    configuration = parse(*COMPLETE_SET).unwrap()
    assert configuration.workspace_for_key(KEY).name == "w"
    assert configuration.workspace_for_key("b" * 64) is None
    assert configuration.is_domain_in("d")
    assert not configuration.is_domain_in("unknown")
    (endpoint,) = configuration.endpoints_for_model("m")
    assert configuration.endpoints_for_service("s") == (endpoint,)
    assert configuration.model_for_endpoint(endpoint).version == "3"
    assert configuration.endpoints_for_model("x") == ()


def test_models_index_holds_the_newest_version():
    newer = MODEL.replace('"3"', '"10"')
    assert parse(newer, MODEL).unwrap().models["m"].version == "10"


def test_digest_does_not_depend_on_order_or_files():
    one = parse(*COMPLETE_SET).unwrap()
    other = parse_texts(
        SourceText(str(i), text) for i, text in enumerate(COMPLETE_SET[::-1])
    )
    assert one.digest == other.unwrap().digest


def test_plain_form_is_stable():
    plain = parse(*COMPLETE_SET).unwrap().plain
    again = AcceptedParser().parse(plain).unwrap()
    assert again.plain == plain


def test_kinds_and_keys_of_a_newer_release_are_ignored_in_force_but_rejected_on_apply():
    data = parse(*COMPLETE_SET).unwrap().plain.to_plain()
    data[0]["colour"] = "red"
    newer = [*data, {"kind": "Colour", "name": "x"}]
    plain = DocumentSet.from_plain(newer)
    assert len(plain.texts) == len(newer)
    configuration = AcceptedParser().parse(plain).unwrap()
    assert len(configuration.documents) == len(data)
    problems = parse_documents(number_documents("request", newer)).failure()
    assert [item.kind for item in problems.items] == ["unknown_key", "unknown_kind"]


def test_unchanged_documents_are_not_parsed_again():
    parser = AcceptedParser()
    first = parser.parse(parse(*COMPLETE_SET).unwrap().plain).unwrap()
    changed = parse(*COMPLETE_SET[1:], DOMAIN + "state: out\n").unwrap().plain
    second = parser.parse(changed).unwrap()
    assert not second.is_domain_in("d")
    assert second.models["m"] is first.models["m"]


@pytest.mark.parametrize(
    ("old", "new", "kind", "key"),
    [
        ("type: model", "type: modell", "wrong_type", "type"),
        ('version: "3"\ncontext', "version: 3\ncontext", "wrong_type", "version"),
        ("_tokens: 1000\n", "_tokens: 1k\n", "wrong_type", "context_tokens"),
        ("_tokens: 1000\n", "_tokens: 1.5\n", "wrong_type", "context_tokens"),
        ("_tokens: 1000\n", "_tokens: true\n", "wrong_type", "context_tokens"),
        ("_tokens: 1000\n", "_tokens: 1.0e+300\n", "wrong_type", "context_tokens"),
        ("_tokens: 1000\n", "_tokens: -1\n", "out_of_range", "context_tokens"),
        ("_tokens: 1000\n", f"_tokens: {2**60}\n", "wrong_type", "context_tokens"),
        ("_tokens: 1000\n", "_tokens: 50\n", "inconsistent", "long_prompt_tokens"),
        ("context_tokens: 1000\n", "", "missing_key", "context_tokens"),
        ("context_tokens", "context_tokenz", "unknown_key", "context_tokenz"),
        ("models: [m]", "models: m", "wrong_type", "models"),
        ("models: [m]", "models: [m]\nweight: .nan", "wrong_type", "weight"),
        ("models: [m]", "models: [m]\nweight: 0", "out_of_range", "weight"),
        ("models: [m]", "models: [x]", "unknown_reference", "models"),
        ("models: [m]", "services: [x]", "unknown_reference", "services"),
        ("name: d\n", 'name: d\nregion: "\\ud800"\n', "wrong_type", "region"),
        (KEY, "sesame", "out_of_range", "key_sha256"),
        ("name: w", "name: w/w", "out_of_range", "name"),
        ("[{name: m,", "[{name: x,", "unknown_reference", "models"),
        ("[{name: m, ", "[{", "missing_key", "models.0.name"),
        ('[{name: m, version: "3"}]', "[m]", "wrong_type", "models.0"),
        ('models: [{name: m, version: "3"}]', "", "inconsistent", "models"),
        ("type: model\n", "type: model\nlookup: true\n", "inconsistent", "lookup"),
        ("failure_domain: d", "failure_domain: x", "unknown_reference", None),
        ("service: s", "service: x", "unknown_reference", "service"),
        ("service: s", "service: p", "inconsistent", "model"),
        ("model: m\n", "", "unknown_reference", "model"),
        ("kv_capacity_tokens: 10\n", "", "out_of_range", "kv_capacity_tokens"),
        ("max_running_requests: 4", "cold_running_requests: 9", "inconsistent", None),
        ("kind: Endpoint", "kind: Endpoit", "unknown_kind", ""),
        ("name: d\n", "name: d\nname: e\n", "unreadable_text", ""),
        ("name: d\n", "name: [\n", "unreadable_text", ""),
        ("kind: FailureDomain\nname: d\n", "[1, 2]\n", "unknown_kind", ""),
        (WORKSPACE, WORKSPACE + "---\n" + WORKSPACE, "duplicate", ""),
        (
            WORKSPACE,
            WORKSPACE + "---\n" + WORKSPACE.replace("name: w", "name: v"),
            "duplicate",
            "key_sha256",
        ),
    ],
)
def test_invalid_document_is_reported_with_kind_and_location(old, new, kind, key):
    text = "---\n".join(COMPLETE_SET)
    assert old in text
    problems = parse(text.replace(old, new, 1)).failure().items
    found = [item for item in problems if item.kind == kind]
    assert found, problems
    assert found[0].location.file == "file.yaml"
    assert key is None or found[0].location.key == key
    assert found[0].remedy in str(found[0])


def test_all_problems_of_all_files_are_reported():
    sources = [
        SourceText("one.yaml", MODEL.replace('"3"', "3") + "foo: 1\n"),
        SourceText("two.yaml", "- ["),
        SourceText("three.yaml", DOMAIN + "state: maybe\n"),
    ]
    problems = parse_texts(sources).failure()
    kinds = [item.kind for item in problems.items]
    assert kinds == ["unreadable_text", "wrong_type", "unknown_key", "wrong_type"]
    assert problems.headline == "4 problems found."


def test_references_are_not_checked_while_a_document_is_invalid():
    problems = parse(*COMPLETE_SET[2:], "kind: Model\nname: m\n").failure().items
    assert {item.kind for item in problems} == {"missing_key"}


def test_empty_set_is_refused():
    assert isinstance(parse_documents([]), Failure)
    assert parse("# nothing\n").failure().items[0].kind == "empty_set"
