"""Options and faults of the stand-in engine."""

import attrs


@attrs.frozen
class EngineOptions:
    """Capacity, speed and cold start of the stand-in engine.

    Parameters
    ----------
    model, version : str
        Model and version loaded at the start.
    kv_capacity_tokens : int
        KV cache for streams, parts and imports.
    prefix_cache_tokens : int
        Prefix cache, on top of the KV cache capacity; 0 for none.
    chunk_tokens : int
        Maximum prefill per step.
    max_running_requests : int
        Maximum streams in the batch; further ones wait in the engine.
    start_cold : bool
        Whether the first boot is cold; each later one is always cold.
    prefill_tokens_per_s : float
        Prefill rate of one engine.
    decode_step_s : float
        Duration of a decode step with one stream in the batch.
    decode_growth : float
        Added share of a decode step for each further stream.
    cold_running_requests : int
        Concurrent requests of a cold engine; more of them crash it.
    cold_refuses : bool
        Whether a cold engine refuses excess requests instead of crashing.
    cold_slow_factor : float
        Factor on the duration of steps during a cold start.
    warm_work : int
        Completed requests after which a cold engine is warm.
    warm_s : float
        Time after which a cold engine is warm in any case; 0 for never.
    restart_s : float
        Time from a crash to the next boot.
    report_lag_s : float
        Interval between two status snapshots; 0 for a current status.
    cache_event_lag_s : float
        Delay until a cache event is readable.
    cache_event_loss : float
        Share of cache events that are lost, from 0 to 1.
    load_s : float
        Duration of a model load.
    fencing : bool
        Whether orders with a stale fencing number are refused.
    retain_s : float
        Time that an ended stream stays readable.
    seed : int
        Seed of the random choice of lost events.
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
    """Active faults; each count is decremented when its fault is applied.

    Parameters
    ----------
    slow_factor : float
        Factor on the duration of steps.
    crash_on_text : str
        A prompt with this text crashes the engine once its prefill begins.
    drop_streams : int
        Number of readers to disconnect after their next line.
    ignore_cancel_count : int
        Number of cancellations to ignore.
    duplicate_lines, reorder_lines : int
        Number of lines to send twice, or after the line that follows.
    """

    slow_factor: float = 1.0
    crash_on_text: str = ""
    drop_streams: int = 0
    ignore_cancel_count: int = 0
    duplicate_lines: int = 0
    reorder_lines: int = 0


@attrs.frozen
class EngineFaultChange:
    """Body of `POST /faults`; None leaves a fault unchanged.

    Parameters
    ----------
    die : bool, optional
        Crash the engine now.
    cold : bool, optional
        Enter a cold start now, without a new boot id.
    freeze_s : float, optional
        Run no step and answer no request for this time; 0 ends a freeze.
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
