"""Model of an engine in virtual time, with continuous batching and a cold start."""

import attrs

STEP_S = 0.02
DECODE_S = 0.0005
CHUNK_TOKENS = 2048
COLD_SPEED = 0.3
RESTART_S = 5.0


@attrs.define(eq=False)
class Job:
    """One attempt of a request that the engine runs."""

    grant_id: str
    number: int
    priority: int
    prefill_left_tokens: int
    output_tokens: int
    done_tokens: int = 0
    work_tokens: int = 0


@attrs.frozen
class Step:
    """Duration and progress of one step of the engine."""

    elapsed_s: float
    first_tokens: tuple[Job, ...] = ()
    finished: tuple[Job, ...] = ()


@attrs.define
class VirtualEngine:
    """An engine that crashes when it runs more requests than its capacity.

    Each step prefills a chunk of the prompt with the best priority and decodes one
    token for each prompt whose prefill is complete.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Prefill rate when warm.
    full_requests, cold_requests : int
        Capacity in concurrent requests when warm, and at the beginning of a cold start.
    warm_work_tokens : int
        Completed work after which the engine is warm; 0 if it always is.
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
        """Progress of the warm-up: 0 is cold, 1 is warm."""
        if self.warm_work_tokens == 0:
            return 1.0
        return min(1.0, self.work_tokens / self.warm_work_tokens)

    @property
    def request_capacity(self) -> float:
        """Concurrent requests that the engine can run without a crash now."""
        spread = self.full_requests - self.cold_requests
        return self.cold_requests + spread * self.warmth

    def start(self, job: Job, now_s: float) -> list[Job]:
        """Start a job; return the jobs that are lost if the engine crashes from it."""
        self.jobs.append(job)
        if len(self.jobs) <= self.request_capacity:
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
        decoding = [job for job in self.jobs if job.prefill_left_tokens == 0]
        elapsed_s = STEP_S + len(decoding) * DECODE_S
        first = []
        if reading := [job for job in self.jobs if job.prefill_left_tokens > 0]:
            job = min(reading, key=lambda job: job.priority)
            chunk_tokens = min(CHUNK_TOKENS, job.prefill_left_tokens)
            job.prefill_left_tokens -= chunk_tokens
            elapsed_s += chunk_tokens / self.prefill_tokens_per_s
            if job.prefill_left_tokens == 0:
                first.append(job)
        for job in decoding:
            job.done_tokens += 1
        finished = [job for job in decoding if job.done_tokens >= job.output_tokens]
        for job in finished:
            self.jobs.remove(job)
            self.work_tokens += job.work_tokens
        return Step(elapsed_s / speed, tuple(first), tuple(finished))
