"""Client of the platform's rate-limited store of model weights."""

import attrs
from tornado.httpclient import HTTPResponse

from ..exceptions import PlatformError
from .exceptions import ExchangeError, WeightsRateLimitedError
from .http import decode, fetch, json_request

STATUS_RATE_LIMITED = 429
LOAD_TIMEOUT_S = 600.0
DEFAULT_RETRY_AFTER_S = 1.0


@attrs.frozen
class Weights:
    """Model weights that the store has transferred, `size_bytes` in total."""

    model: str
    version: str
    size_bytes: int


@attrs.frozen
class _Handed:
    bytes: int


class WeightStoreClient:
    """Load model weights from the store.

    Parameters
    ----------
    base_url : str
        URL of the platform, without a trailing slash.
    """

    def __init__(self, base_url: str) -> None:
        self._url = f"{base_url}/v1/weights"

    async def load(self, model: str, version: str) -> Weights:
        """Load weights and wait until the store has transferred them.

        Raises
        ------
        WeightsRateLimitedError
            If the store is over its rate limit; carries `retry_after_s`.
        PlatformError
            If the store doesn't answer, or its response can't be decoded.
        """
        url = f"{self._url}/{model}/{version}"
        request = json_request("GET", url, timeout_s=LOAD_TIMEOUT_S)
        try:
            response = await fetch(request)
        except ExchangeError as error:
            raise PlatformError(f"No weights: {error.message}") from error
        if response.code == STATUS_RATE_LIMITED:
            raise _rate_limited(response, f"{model} {version}")
        try:
            size_bytes = decode(response.body, _Handed).bytes
        except ValueError as error:
            raise PlatformError(
                f"Status {response.code} and no weights: {error}."
            ) from error
        return Weights(model, version, size_bytes)


def _rate_limited(response: HTTPResponse, what: str) -> WeightsRateLimitedError:
    retry_after_s = response.headers.get("Retry-After", DEFAULT_RETRY_AFTER_S)
    return WeightsRateLimitedError(
        f"The weight store is over its rate; {what} was not loaded.",
        not_run=True,
        retry_after_s=float(retry_after_s),
    )
