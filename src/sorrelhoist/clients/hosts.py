"""Client of the platform's list of hosts, which lags."""

import attrs

from ..exceptions import PlatformError
from .exceptions import ExchangeError
from .http import decode, fetch, json_request


@attrs.frozen
class PlatformHost:
    """One host as the platform sees it.

    Parameters
    ----------
    host : str
        Its name.
    address : str
        Its IP number.
    peer_port : int
        Where its process of the system listens.
    failure_domain : str
        Where it stands.
    role : str
        ``entry`` or ``agent``.
    state : str
        ``live`` or ``leaving``.
    """

    host: str
    address: str
    peer_port: int
    failure_domain: str
    role: str
    state: str


@attrs.frozen
class _Hosts:
    hosts: list[PlatformHost]


class HostList:
    """Read the platform's list of hosts.

    Parameters
    ----------
    base_url : str
        Of the platform, without a slash at the end.
    """

    def __init__(self, base_url: str) -> None:
        self._url = f"{base_url}/v1/hosts"

    async def fetch(self) -> list[PlatformHost]:
        """Return the list, a hint that may be old.

        Raises
        ------
        PlatformError
            If the platform doesn't answer with a list.
        """
        try:
            response = await fetch(json_request("GET", self._url))
            return decode(response.body, _Hosts).hosts
        except ExchangeError as error:
            raise PlatformError(f"No list of hosts: {error.message}") from error
        except ValueError as error:
            raise PlatformError(
                f"Status {response.code} and no list of hosts: {error}."
            ) from error
