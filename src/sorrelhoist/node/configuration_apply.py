"""Apply a complete set of documents and determine its verdict.

Verdicts come only from the log; none is inferred from the result of an append.
"accepted" is reported to an operator only after the change was read back from the
log and a majority of the failure domains has it, so that it survives the loss of
both this process and the log in the next second.
"""

import asyncio

import attrs

from ..clients.exceptions import AppendOutcomeUnknownError, LogRateLimitedError
from ..decisions.configuration import (
    Accepted,
    Conflict,
    Verdict,
    VerdictPending,
    accepted_verdict,
)
from ..decisions.configuration_confirmations import Confirmations
from ..decisions.configuration_records import Change, Restart, encode_record
from ..decisions.documents import DocumentSet, diff
from ..exceptions import (
    KeyReusedError,
    LogUnavailableError,
    NotReadyError,
)
from .configuration import ConfigurationReplica
from .configuration_confirm import ConfigurationConfirmer

RETRY_INTERVAL_S = 0.2


@attrs.frozen
class Proposal:
    """Request to apply a complete set of documents.

    Parameters
    ----------
    apply_id : str
        Identity of the request, chosen by the caller; used to query the verdict.
    documents : DocumentSet
        The validated set.
    base_revision : int, optional
        The revision that the caller compared the set with; by default the one in
        force.
    is_restart : bool
        Put the set in force regardless of the earlier configuration; refused while
        the earlier configuration is known.
    """

    apply_id: str
    documents: DocumentSet
    base_revision: int | None = None
    is_restart: bool = False


@attrs.frozen
class ApplyReport:
    """Result of a proposal.

    Parameters
    ----------
    verdict : Verdict or VerdictPending
        The verdict according to the log.
    confirmations : Confirmations, optional
        Processes that have the configuration, if it was accepted.
    is_unchanged : bool
        True if the set was in force already; the verdict is then that of the
        change that put it in force.
    """

    verdict: Verdict | VerdictPending
    confirmations: Confirmations | None = None
    is_unchanged: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the result can no longer change."""
        match self.verdict:
            case VerdictPending():
                return False
            case Accepted():
                return self.confirmations is not None and self.confirmations.has_quorum
        return True


class ConfigurationApplier:
    """Applies proposals through one replica.

    Parameters
    ----------
    replica : ConfigurationReplica
        Replica of this process.
    verdict_timeout_s : float
        Maximum time to append a proposal's record, and to find it in the log.
    confirm_timeout_s : float
        Maximum time to wait for confirmations by other processes.
    """

    def __init__(
        self,
        replica: ConfigurationReplica,
        verdict_timeout_s: float = 10.0,
        confirm_timeout_s: float = 5.0,
    ) -> None:
        self._replica = replica
        self._verdict_timeout_s = verdict_timeout_s
        self._confirmer = ConfigurationConfirmer(replica, confirm_timeout_s)

    async def apply(self, proposal: Proposal) -> ApplyReport:
        """Apply a set.

        Parameters
        ----------
        proposal : Proposal
            The set and its identity. If its verdict is known already, nothing is
            appended.

        Returns
        -------
        ApplyReport

        Raises
        ------
        LogUnavailableError
            If nothing was appended.
        NotReadyError
            If this process does not know which configuration is in force, or if a
            restart is requested while it does.
        KeyReusedError
            If the apply id was accepted with another set.
        """
        await self._replica.refresh()
        fold = self._replica.state.fold
        known = fold.verdict(proposal.apply_id)
        if not isinstance(known, VerdictPending):
            _check_reuse(proposal, known)
            return await self._report(known)
        if not self._replica.is_caught_up:
            await self._replica.exchange.fetch_from_peers(have_offset=0)
        if proposal.is_restart:
            return await self._restart(proposal)
        if not self._replica.is_caught_up:
            raise _not_ready_error()
        if proposal.base_revision not in (None, fold.revision):
            return ApplyReport(self._conflict(proposal))
        return await self._change(proposal)

    async def status(self, apply_id: str) -> ApplyReport:
        """Return the current result of a proposal, read from the log if available."""
        try:
            await self._replica.refresh()
        except LogUnavailableError:
            pass
        return await self._report(self._replica.state.fold.verdict(apply_id))

    async def _change(self, proposal: Proposal) -> ApplyReport:
        fold = self._replica.state.fold
        difference = diff(fold.documents, proposal.documents)
        if difference.is_empty and fold.revision > 0:
            verdict = accepted_verdict(fold.state.history[-1])
            return attrs.evolve(await self._report(verdict), is_unchanged=True)
        base_revision = fold.revision
        change = Change(
            proposal.apply_id, base_revision, difference, proposal.documents.digest
        )
        await self._append(encode_record(change))
        return await self._report(
            await self._find_verdict(proposal.apply_id, base_revision)
        )

    async def _restart(self, proposal: Proposal) -> ApplyReport:
        if self._replica.is_caught_up:
            raise NotReadyError(
                "The configuration in force is known; a restart would undo it.",
                "Apply without --restart.",
                not_run=True,
            )
        expected_offset = self._replica.end_offset
        restart = Restart(proposal.apply_id, expected_offset, proposal.documents)
        await self._append(encode_record(restart))
        return await self._report(await self._find_verdict(proposal.apply_id, None))

    async def _append(self, text: str) -> None:
        """Append a record once; return also if the outcome of the append is unknown.

        Only an append that the log rejected by its rate limit is retried.
        """
        deadline_s = self._replica.clock() + self._verdict_timeout_s
        while True:
            try:
                await self._replica.log.append([text])
                return
            except AppendOutcomeUnknownError:
                return
            except LogRateLimitedError as error:
                wait_s = error.retry_after_s or RETRY_INTERVAL_S
                if self._replica.clock() + wait_s > deadline_s:
                    raise
                await asyncio.sleep(wait_s)

    async def _find_verdict(
        self, apply_id: str, base_revision: int | None
    ) -> Verdict | VerdictPending:
        """Read the log until it has a verdict, or the timeout has passed."""
        fold = self._replica.state.fold
        deadline_s = self._replica.clock() + self._verdict_timeout_s
        while True:
            await self._read_next(deadline_s)
            verdict = fold.verdict(apply_id)
            if base_revision is not None:
                verdict = fold.verdict_from_base(apply_id, base_revision)
            has_timed_out = self._replica.clock() >= deadline_s
            if has_timed_out or not isinstance(verdict, VerdictPending):
                return verdict

    async def _read_next(self, deadline_s: float) -> None:
        remaining_s = max(deadline_s - self._replica.clock(), 0.0)
        wait_s = min(remaining_s, RETRY_INTERVAL_S)
        try:
            await self._replica.read(wait_s)
        except LogUnavailableError:
            await asyncio.sleep(wait_s)

    async def _report(self, verdict: Verdict | VerdictPending) -> ApplyReport:
        if not isinstance(verdict, Accepted):
            return ApplyReport(verdict)
        return ApplyReport(verdict, await self._confirmer.confirm(verdict.offset))

    def _conflict(self, proposal: Proposal) -> Conflict:
        fold = self._replica.state.fold
        base_revision = proposal.base_revision or 0
        return fold.conflict(proposal.apply_id, base_revision)


def _check_reuse(proposal: Proposal, known: Verdict) -> None:
    is_reused = (
        isinstance(known, Accepted) and known.digest != proposal.documents.digest
    )
    if is_reused:
        raise KeyReusedError(
            f"The apply id {proposal.apply_id!r} was accepted with another set.",
            "Apply with a new apply id.",
            not_run=True,
        )


def _not_ready_error() -> NotReadyError:
    return NotReadyError(
        "This process does not know for sure which configuration is in force.",
        "Ask another entry, or look at the alarms in the status.",
        not_run=True,
    )
