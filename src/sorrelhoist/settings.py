"""Settings of one process, read from a YAML file and validated together."""

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
    """The endpoint that an agent controls admission to.

    Parameters
    ----------
    name : str
        Name of its ``Endpoint`` document in the configuration.
    url : str
        Base URL, on the agent's own host.
    type : {'engine', 'plain'}
        Whether it is a model engine or a plain service.
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
        Role of the process.
    node_id : str
        Unique name of the process.
    host, failure_domain, region : str
        Host, failure domain and region in which the process runs.
    address : str
        IP address that the process listens on and announces to its peers.
    http_port, peer_port : int
        Port for HTTP, and port for traffic with peers over TCP and UDP.
    seeds : list of str
        ``ADDRESS:PEER_PORT`` of some other processes, through which this one joins.
    platform_url : str
        Base URL of the platform.
    stream_key : str
        Secret shared by all processes, with which stream ids are signed.
    operator_key_sha256 : list of str
        SHA-256 hashes of the operators' keys, in hexadecimal.
    endpoint : EndpointSettings, optional
        The endpoint of an agent; not allowed for an entry.
    configuration_stale_after_s : float
        An agent that has had contact with neither the log nor a peer for this long
        issues no new grants.
    log_retention_s : float
        Shortest time for which the platform's log retains a record.
    lease_s, lease_grace_s : float
        Lease duration of a grant, and the grace period after it in which another
        entry may attach.
    drain_timeout_s : float
        Longest time for which a shutdown waits for running requests.
    default_deadline_s : float
        Time until the deadline of a request that sets none.
    log_level : str
        Lowest level that is written to the log.
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


def _strict_hook(expected: type) -> Callable[[object, object], object]:
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
        converter.register_structure_hook(expected, _strict_hook(expected))
    for cls in (EndpointSettings, Settings):
        hook = make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True)
        converter.register_structure_hook(cls, hook)
    return converter


_CONVERTER = _make_converter()


def _describe_error(error: BaseException, expected: type | None) -> str:
    if isinstance(error, TypeError | ValueError) and error.args:
        return str(error.args[0])
    return format_exception(error, expected)


def parse_settings(text: str, name: str = "settings") -> Settings:
    """Parse and validate the text of a settings file.

    Parameters
    ----------
    text : str
        Content of the file, in YAML.
    name : str
        File name shown in error messages.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        If the text is not valid; it names the file, each invalid key and the
        remedy.

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
        problems = "; ".join(transform_error(error, name, _describe_error))
    except (TypeError, ValueError) as error:
        problems = str(error)
    raise SettingsError(
        f"{name}: {problems.removeprefix(name + ': ')}.",
        "Correct these keys; docs/OPERATIONS.md lists all settings.",
    )


def load_settings(path: Path) -> Settings:
    """Read, parse and validate a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or its settings are not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can't be read: {error}.", "Name a readable file."
        ) from error
    return parse_settings(text, str(path))
