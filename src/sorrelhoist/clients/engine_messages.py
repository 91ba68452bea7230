"""What an engine is asked and what it answers."""

import attrs


@attrs.frozen
class StreamSpec:
    """A stream to run.

    Parameters
    ----------
    stream_id : str
        Chosen by the caller; unique on the engine.
    model : str
        Must be the one that the engine has loaded.
    prompt : str
        Four bytes of UTF-8 make a token.
    output_tokens : int
        The whole answer, with the delivered tokens.
    priority : int
        0 goes before 1.
    delivered : tuple of str
        Output tokens that the caller has; sequence numbers go on after them.
    group_id : str
        Names the group of engines, or empty.
    group_size : int
        Engines that share the memory and the prefill.
    import_handle : str
        An imported cache to start from, or empty.
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
    """Output tokens `sequence` up to `sequence + len(tokens)`."""

    sequence: int
    tokens: tuple[str, ...]


@attrs.frozen
class EngineEnd:
    """The end of a whole answer of `total_tokens`, delivered ones included."""

    total_tokens: int
    finish_reason: str


@attrs.frozen
class StreamLine:
    """One line of a stream: tokens, or the end."""

    sequence: int = 0
    tokens: tuple[str, ...] = ()
    end: bool = False
    total_tokens: int = 0
    finish_reason: str = ""


@attrs.frozen
class EngineStatus:
    """The engine's own report, `report_age_ms` old."""

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
    """Memory held for a prompt that another engine leads."""

    stream_id: str
    kv_tokens: int


@attrs.frozen
class HeldImport:
    """An imported cache that no stream has named yet."""

    handle: str
    kv_tokens: int


@attrs.frozen
class EngineInventory:
    """All that holds memory on an engine."""

    boot_id: str
    streams: tuple[HeldStream, ...]
    parts: tuple[HeldPart, ...]
    imports: tuple[HeldImport, ...]


@attrs.frozen
class ExportedCache:
    """The cache of a stream; `data` is for the importing engine alone."""

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
    """Whether the engine holds nothing of it any more."""

    cancelled: bool


@attrs.frozen
class CacheEvent:
    """A block of a prompt was stored in the prefix cache, or left it."""

    sequence: int
    block_hash: int
    stored: bool


@attrs.frozen
class CacheEvents:
    """Events, and the sequence number to ask for `next`."""

    events: tuple[CacheEvent, ...]
    next: int
