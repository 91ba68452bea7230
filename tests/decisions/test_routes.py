"""Matching of requests to routes."""

import attrs

from sorrelhoist.decisions.routes import Repeat, Route, RouteTable, Target


def route(prefix, host="a.example"):
    return Route(
        name=prefix,
        host=host,
        path_prefix=prefix,
        targets=(Target("app", 1.0),),
        repeat=Repeat.ONCE,
    )


def table(*routes):
    by_place = {(one.host, one.path_prefix): one for one in routes}
    return RouteTable(version=1, routes=by_place, services={})


def test_the_route_with_the_longest_path_prefix_matches():
    found = table(route("/a/"), route("/a/b/"), route("/a/b/c/"))
    assert found.match("a.example", "/a/b/x?y=/a/b/c/").name == "/a/b/"
    assert found.match("A.example:80", "/a/b/c/").name == "/a/b/c/"
    assert found.match("a.example", "/ab/") is None
    assert found.match("b.example", "/a/b/") is None


def test_the_root_route_matches_all_other_paths():
    found = table(route("/"), route("/a/"))
    assert found.match("a.example", "/z").name == "/"
    assert found.match("a.example", "no slash") is None


def test_a_target_with_zero_weight_gets_no_requests():
    split = attrs.evolve(route("/"), targets=(Target("x", 0.0), Target("y", 1.0)))
    assert {split.choose_service(draw / 100) for draw in range(100)} == {"y"}
