"""Requests and responses of an engine's HTTP interface, sent as JSON."""

import attrs


@attrs.frozen
class StreamSpec:
    """A request to generate output tokens for one prompt.

    Parameters
    ----------
    stream_id : str
        Chosen by the caller; unique on the engine.
    model : str
        Must be the model that the engine has loaded.
    prompt : str
        Counted as one token per four bytes of UTF-8.
    output_tokens : int
        Length of the complete output, including the delivered tokens.
    priority : int
        0 is scheduled before 1.
    delivered : tuple of str
        Output tokens that the caller already has; sequence numbers continue after
        them.
    group_id : str
        Name of the group of engines; empty if there is none.
    group_size : int
        Number of engines that share the memory and the prefill.
    import_handle : str
        Imported KV cache to start from; empty if there is none.
    """

    stream_id: str
    model: str
    prompt: str
    output_tokens: int
    priority: int = 0
    delivered: tuple[str, ...] = ()
    group_id: str = ""
    group_size: int = 1
    import_handle: str = ""


@attrs.frozen
class EngineTokens:
    """Output tokens from `sequence` to `sequence + len(tokens)`, exclusive."""

    sequence: int
    tokens: tuple[str, ...]


@attrs.frozen
class EngineEnd:
    """The end of an output of `total_tokens`, including the delivered tokens."""

    total_tokens: int
    finish_reason: str


@attrs.frozen
class StreamLine:
    """One line of a stream: output tokens, or the end marker."""

    sequence: int = 0
    tokens: tuple[str, ...] = ()
    end: bool = False
    total_tokens: int = 0
    finish_reason: str = ""


@attrs.frozen
class EngineStatus:
    """Status as the engine reports it, `report_age_ms` milliseconds old."""

    boot_id: str
    state: str
    model: str
    version: str
    kv_capacity_tokens: int
    kv_used_tokens: int
    running_requests: int
    prefill_tokens_per_s: float
    report_age_ms: int
    highest_fencing: int
    role: str = ""


@attrs.frozen
class HeldStream:
    """A stream on the engine; `kv_tokens` is 0 once it has ended."""

    stream_id: str
    kv_tokens: int
    next_sequence: int
    state: str


@attrs.frozen
class HeldPart:
    """Memory reserved for a prompt whose leader is another engine of the group."""

    stream_id: str
    kv_tokens: int


@attrs.frozen
class HeldImport:
    """An imported KV cache that no stream uses yet."""

    handle: str
    kv_tokens: int


@attrs.frozen
class EngineInventory:
    """Everything that holds KV-cache memory on an engine."""

    boot_id: str
    streams: tuple[HeldStream, ...]
    parts: tuple[HeldPart, ...]
    imports: tuple[HeldImport, ...]


@attrs.frozen
class ExportedCache:
    """The KV cache of a stream; only the importing engine interprets `data`."""

    handle: str
    kv_tokens: int
    data: str


@attrs.frozen
class Order:
    """An order to an engine: `load`, `unload` or `set_role`."""

    fencing: int
    action: str
    model: str = ""
    version: str = ""
    role: str = ""


@attrs.frozen
class Ordered:
    """What an engine has loaded after an order."""

    model: str
    version: str
    role: str


@attrs.frozen
class Freed:
    """Whether the engine has freed all memory of what was deleted."""

    cancelled: bool


@attrs.frozen
class CacheEvent:
    """A block of a prompt was stored in the prefix cache or evicted from it."""

    sequence: int
    block_hash: int
    stored: bool


@attrs.frozen
class CacheEvents:
    """Cache events; `next` is the sequence number to continue from."""

    events: tuple[CacheEvent, ...]
    next: int
