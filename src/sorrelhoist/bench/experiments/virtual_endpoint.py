"""A model engine in virtual time, with continuous batching and a cold start."""

import attrs

STEP_S = 0.02
DECODE_S = 0.0005
CHUNK_TOKENS = 2048
COLD_SPEED = 0.3
RESTART_S = 5.0


@attrs.define(eq=False)
class Job:
    """One attempt of a request on its way through the engine."""

    grant_id: str
    number: int
    priority: int
    unread_tokens: int
    output_tokens: int
    done_tokens: int = 0
    work_tokens: int = 0


@attrs.frozen
class Step:
    """What happened in one step of the engine."""

    elapsed_s: float
    first_tokens: tuple[Job, ...] = ()
    finished: tuple[Job, ...] = ()


@attrs.define
class VirtualEngine:
    """An engine that dies when it runs more than it bears.

    Each step reads a chunk of one prompt, of the best priority first, and makes one
    token for each prompt that was read.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Full speed.
    full_requests, cold_requests : int
        Requests that it bears when warm, and in a cold start.
    warm_work_tokens : int
        Completed work that makes it warm; 0 if it always is.
    """

    prefill_tokens_per_s: float
    full_requests: int
    cold_requests: int
    warm_work_tokens: int
    boot: int = 1
    deaths: int = 0
    down_until_s: float = 0.0
    work_tokens: int = 0
    jobs: list[Job] = attrs.field(factory=list)

    @property
    def warmth(self) -> float:
        """From 0, cold, to 1."""
        if self.warm_work_tokens == 0:
            return 1.0
        return min(1.0, self.work_tokens / self.warm_work_tokens)

    @property
    def borne_requests(self) -> float:
        """Requests that the engine bears now."""
        spread = self.full_requests - self.cold_requests
        return self.cold_requests + spread * self.warmth

    def start(self, job: Job, now_s: float) -> list[Job]:
        """Take a job; give the jobs that were lost if the engine died of it."""
        self.jobs.append(job)
        if len(self.jobs) <= self.borne_requests:
            return []
        lost = self.jobs
        self.jobs = []
        self.boot += 1
        self.deaths += 1
        self.work_tokens = 0
        self.down_until_s = now_s + RESTART_S
        return lost

    def step(self) -> Step:
        """Run one step over all jobs."""
        speed = COLD_SPEED + (1 - COLD_SPEED) * self.warmth
        decoding = [job for job in self.jobs if job.unread_tokens == 0]
        elapsed_s = STEP_S + len(decoding) * DECODE_S
        first = []
        if reading := [job for job in self.jobs if job.unread_tokens > 0]:
            job = min(reading, key=lambda job: job.priority)
            chunk_tokens = min(CHUNK_TOKENS, job.unread_tokens)
            job.unread_tokens -= chunk_tokens
            elapsed_s += chunk_tokens / self.prefill_tokens_per_s
            if job.unread_tokens == 0:
                first.append(job)
        for job in decoding:
            job.done_tokens += 1
        finished = [job for job in decoding if job.done_tokens >= job.output_tokens]
        for job in finished:
            self.jobs.remove(job)
            self.work_tokens += job.work_tokens
        return Step(elapsed_s / speed, tuple(first), tuple(finished))
