"""Options and faults of the stand-in engine."""

import attrs


@attrs.frozen
class EngineOptions:
    """How the stand-in engine is built.

    Parameters
    ----------
    model, version : str
        Loaded at the start.
    kv_capacity_tokens : int
        For streams, parts and imports.
    prefix_cache_tokens : int
        Beside the capacity; 0 for no cache.
    chunk_tokens : int
        Prefilled in one step at most.
    max_running_requests : int
        Streams in the batch; more wait on the engine.
    start_cold : bool
        Whether the first boot is cold; each later one is.
    prefill_tokens_per_s : float
        Of one engine.
    decode_step_s : float
        One output token of a batch of one.
    decode_growth : float
        Added share of a decode step for each further stream.
    cold_running_requests : int
        More than so many at once kill a cold engine.
    cold_refuses : bool
        Whether it refuses what is over that instead.
    cold_slow_factor : float
        Steps take so much longer in a cold start.
    warm_work : int
        Requests to complete until a cold engine serves in full.
    warm_s : float
        The time after which it does so anyway; 0 for never.
    restart_s : float
        From a death to the next boot.
    report_lag_s : float
        Between two snapshots of the status; 0 for none.
    cache_event_lag_s : float
        How late cache events can be read.
    cache_event_loss : float
        Share of cache events that are lost, from 0 to 1.
    load_s : float
        How long an order to load takes.
    fencing : bool
        Whether orders with an old fencing number are refused.
    retain_s : float
        How long an ended stream can still be read.
    seed : int
        Picks the lost events.
    """

    model: str = "clown-large"
    version: str = "3"
    kv_capacity_tokens: int = 450_000
    prefix_cache_tokens: int = 100_000
    prefill_tokens_per_s: float = 40_000.0
    decode_step_s: float = 0.010
    decode_growth: float = 0.02
    chunk_tokens: int = 2048
    max_running_requests: int = 64
    start_cold: bool = True
    cold_running_requests: int = 2
    cold_refuses: bool = False
    cold_slow_factor: float = 3.0
    warm_work: int = 8
    warm_s: float = 0.0
    restart_s: float = 5.0
    report_lag_s: float = 1.0
    cache_event_lag_s: float = 2.0
    cache_event_loss: float = 0.05
    load_s: float = 5.0
    fencing: bool = True
    retain_s: float = 60.0
    seed: int = 0


@attrs.define
class EngineFaults:
    """Faults that are on; counts run down as they strike.

    Parameters
    ----------
    slow_factor : float
        Steps take so much longer.
    crash_on_text : str
        A prompt with this text kills the engine once its prefill begins.
    drop_streams : int
        So many readers are cut after their next line.
    ignore_cancel_count : int
        So many cancels have no effect.
    duplicate_lines, reorder_lines : int
        So many lines are sent twice, or after the line that follows.
    """

    slow_factor: float = 1.0
    crash_on_text: str = ""
    drop_streams: int = 0
    ignore_cancel_count: int = 0
    duplicate_lines: int = 0
    reorder_lines: int = 0


@attrs.frozen
class EngineFaultChange:
    """What `POST /faults` changes; None leaves a fault as it is.

    Parameters
    ----------
    die : bool, optional
        The engine dies now.
    cold : bool, optional
        It falls back into a cold start, with no new boot id.
    freeze_s : float, optional
        Nothing moves and nothing is answered for so long; 0 ends that.
    """

    die: bool | None = None
    cold: bool | None = None
    freeze_s: float | None = None
    slow_factor: float | None = None
    crash_on_text: str | None = None
    drop_streams: int | None = None
    ignore_cancel_count: int | None = None
    duplicate_lines: int | None = None
    reorder_lines: int | None = None
