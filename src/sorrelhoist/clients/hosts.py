"""Client of the platform's host list, which lags behind the actual hosts."""

import attrs

from ..exceptions import PlatformError
from .exceptions import ExchangeError
from .http import decode, fetch, json_request


@attrs.frozen
class PlatformHost:
    """One host as the platform lists it.

    Parameters
    ----------
    host : str
        Name of the host.
    address : str
        IP address of the host.
    peer_port : int
        Port on which the entry or agent on this host listens for its peers.
    failure_domain : str
        Failure domain of the host.
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


class HostListClient:
    """Read the platform's host list.

    Parameters
    ----------
    base_url : str
        URL of the platform, without a trailing slash.
    """

    def __init__(self, base_url: str) -> None:
        self._url = f"{base_url}/v1/hosts"

    async def fetch(self) -> list[PlatformHost]:
        """Return the hosts; the list is a hint and may be out of date.

        Raises
        ------
        PlatformError
            If the platform doesn't answer, or not with a host list.
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
