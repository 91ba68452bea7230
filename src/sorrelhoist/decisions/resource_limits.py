"""Resources that a process may use on its host."""

import attrs


@attrs.frozen(kw_only=True)
class ResourceLimits:
    """Limits of a process; None where no limit is known.

    Parameters
    ----------
    memory_bytes : int or None
        The process is killed if it exceeds it.
    processor_cores : float or None
        Processor time per second.
    link_bytes_per_s : float or None
        Bandwidth of the host, in each direction.
    """

    memory_bytes: int | None = None
    processor_cores: float | None = None
    link_bytes_per_s: float | None = None
