"""Client of the platform's rate-limited weight store."""

import attrs
from tornado.httpclient import HTTPError

from ..exceptions import PlatformError
from .exceptions import WeightsRateLimitedError
from .http import decode, fetch, json_request

STATUS_RATE_LIMITED = 429
LOAD_TIMEOUT_S = 600.0
DEFAULT_RETRY_AFTER_S = 1.0


@attrs.frozen
class Weights:
    """Weights that the store has handed over, `size_bytes` of them."""

    model: str
    version: str
    size_bytes: int


class WeightStore:
    """Load weights.

    Parameters
    ----------
    base_url : str
        Of the platform, without a slash at the end.
    """

    def __init__(self, base_url: str) -> None:
        self._url = f"{base_url}/v1/weights"

    async def load(self, model: str, version: str) -> Weights:
        """Wait until the store has handed over the weights.

        Raises
        ------
        WeightsRateLimitedError
            With `retry_after_s`, if the store is over its rate.
        PlatformError
            If the store doesn't answer.
        """
        url = f"{self._url}/{model}/{version}"
        request = json_request("GET", url, request_timeout_s=LOAD_TIMEOUT_S)
        try:
            response = await fetch(request)
        except (HTTPError, OSError) as error:
            raise PlatformError(
                f"The weight store does not answer: {error}."
            ) from error
        if response.code == STATUS_RATE_LIMITED:
            raise WeightsRateLimitedError(
                f"The weight store is over its rate for {model} {version}.",
                not_run=True,
                retry_after_s=float(
                    response.headers.get("Retry-After", DEFAULT_RETRY_AFTER_S)
                ),
            )
        if response.code != 200:
            raise PlatformError(f"The weight store answered {response.code}.")
        return Weights(model, version, int(decode(response)["bytes"]))
