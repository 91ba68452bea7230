"""Settings of one process, read from a YAML file and checked as a whole."""

from collections.abc import Callable
from pathlib import Path
from typing import Literal

import attrs
import cattrs
import yaml
from attrs import validators
from cattrs import ClassValidationError, transform_error
from cattrs.gen import make_dict_structure_fn
from cattrs.v import format_exception

from .exceptions import SettingsError

_PORT = validators.and_(validators.ge(0), validators.le(65535))
_NAME = validators.matches_re(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_POSITIVE = validators.gt(0.0)


@attrs.frozen
class EndpointSettings:
    """The endpoint that an agent guards.

    Parameters
    ----------
    name : str
        Name of its ``Endpoint`` document in the configuration.
    url : str
        Base URL, on the agent's own host.
    type : {'engine', 'plain'}
        Model engine or plain service.
    """

    name: str = attrs.field(validator=_NAME)
    url: str = attrs.field(validator=validators.matches_re(r"https?://.+"))
    type: Literal["engine", "plain"] = "engine"


@attrs.frozen
class Settings:
    """All settings of one process.

    Parameters
    ----------
    role : {'entry', 'agent'}
        Which role the process takes.
    node_id : str
        Unique name of the process.
    host, failure_domain, region : str
        Where it runs.
    address : str
        IP number that it listens on and announces.
    http_port, peer_port : int
        Ports for HTTP, and for peers over TCP and UDP.
    seeds : list of str
        Some ``ADDRESS:PEER_PORT`` of other processes.
    platform_url : str
        Base URL of the platform.
    stream_key : str
        Secret that all processes share; it signs stream ids.
    operator_key_sha256 : list of str
        Hashes of the operators' keys.
    endpoint : EndpointSettings, optional
        For agents only.
    configuration_stale_after_s : float
        An agent that has heard neither from the log nor from peers for this
        long grants nothing new.
    log_retention_s : float
        How long the platform's log keeps a record, at least.
    lease_s, lease_grace_s : float
        Lease of a grant, and how long another entry may attach after it.
    drain_timeout_s : float
        Longest time that a shutdown waits for running requests.
    default_deadline_s : float
        Deadline of requests that name none.
    log_level : str
        Lowest level that is logged.
    """

    role: Literal["entry", "agent"]
    node_id: str = attrs.field(validator=_NAME)
    host: str = attrs.field(validator=_NAME)
    failure_domain: str = attrs.field(validator=_NAME)
    address: str = attrs.field(validator=validators.matches_re(r"[0-9a-fA-F.:]+"))
    http_port: int = attrs.field(validator=_PORT)
    peer_port: int = attrs.field(validator=_PORT)
    platform_url: str = attrs.field(validator=validators.matches_re(r"https?://.+"))
    stream_key: str = attrs.field(validator=validators.min_len(16), repr=False)
    region: str = attrs.field(default="default", validator=_NAME)
    seeds: list[str] = attrs.field(
        factory=list,
        validator=validators.deep_iterable(validators.matches_re(r".+:[0-9]{1,5}")),
    )
    operator_key_sha256: list[str] = attrs.field(
        factory=list,
        validator=validators.deep_iterable(validators.matches_re(r"[0-9a-f]{64}")),
    )
    endpoint: EndpointSettings | None = None
    configuration_stale_after_s: float = attrs.field(default=60.0, validator=_POSITIVE)
    log_retention_s: float = attrs.field(default=3600.0, validator=_POSITIVE)
    lease_s: float = attrs.field(default=3.0, validator=_POSITIVE)
    lease_grace_s: float = attrs.field(default=5.0, validator=_POSITIVE)
    drain_timeout_s: float = attrs.field(default=600.0, validator=_POSITIVE)
    default_deadline_s: float = attrs.field(default=120.0, validator=_POSITIVE)
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"

    def __attrs_post_init__(self) -> None:
        if (self.role == "agent") != (self.endpoint is not None):
            raise ValueError("'endpoint' is for agents, which must have one")


def _strict(expected: type) -> Callable[[object, object], object]:
    def structure(value: object, _type: object) -> object:
        accepted = (int, float) if expected is float else (expected,)
        if isinstance(value, bool) and expected is not bool:
            raise TypeError(f"expected {expected.__name__}, got {value!r}")
        if not isinstance(value, accepted):
            raise TypeError(f"expected {expected.__name__}, got {value!r}")
        return expected(value)

    return structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for expected in (str, int, float, bool):
        converter.register_structure_hook(expected, _strict(expected))
    for cls in (EndpointSettings, Settings):
        hook = make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True)
        converter.register_structure_hook(cls, hook)
    return converter


_CONVERTER = _make_converter()


def _describe(error: BaseException, expected: type | None) -> str:
    if isinstance(error, TypeError | ValueError) and error.args:
        return str(error.args[0])
    return format_exception(error, expected)


def parse_settings(text: str, name: str = "settings") -> Settings:
    """Parse and check the text of a settings file.

    Parameters
    ----------
    text : str
        YAML.
    name : str
        File name for error messages.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        Naming the file, each wrong key and the remedy.

    Examples
    --------
    >>> parse_settings("role: entry", "entry.yaml")
    Traceback (most recent call last):
    ...
    sorrelhoist.exceptions.SettingsError: entry.yaml: required field missing @ ...
    """
    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(
            f"{name}: not YAML: {error}.", "Correct the file's syntax."
        ) from error
    if not isinstance(data, dict):
        raise SettingsError(f"{name}: no mapping of keys.", "Write 'key: value' lines.")
    try:
        return _CONVERTER.structure(data, Settings)
    except ClassValidationError as error:
        problems = "; ".join(transform_error(error, name, _describe))
    except (TypeError, ValueError) as error:
        problems = str(error)
    raise SettingsError(
        f"{name}: {problems.removeprefix(name + ': ')}.",
        "Correct these keys; docs/OPERATIONS.md lists all settings.",
    )


def load_settings(path: Path) -> Settings:
    """Read a settings file.

    Raises
    ------
    SettingsError
        If it can't be read or is wrong.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can't be read: {error}.", "Name a readable file."
        ) from error
    return parse_settings(text, str(path))
