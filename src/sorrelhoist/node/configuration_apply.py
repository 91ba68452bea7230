"""Apply a whole set of documents, and find out what became of it.

Nothing is ever guessed: a verdict is what the log says. An operator hears
"accepted" only once the change was read back from the log and is with most
failure domains, so that the loss of this process and of the log, both in the
next second, would not lose it.
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
    """A whole set to apply.

    Parameters
    ----------
    apply_id : str
        Chosen by the caller; the verdict can be asked for with it.
    documents : DocumentSet
        The set, checked.
    base_revision : int, optional
        What the caller compared the set with; by default what is in force.
    is_restart : bool
        Put the set in force whatever came before; refused while what came
        before is known.
    """

    apply_id: str
    documents: DocumentSet
    base_revision: int | None = None
    is_restart: bool = False


@attrs.frozen
class ApplyReport:
    """What became of a proposal.

    Parameters
    ----------
    verdict : Verdict or VerdictPending
        What the log says.
    confirmations : Confirmations, optional
        Who holds it, if it was accepted.
    is_unchanged : bool
        True if the set was in force before; the verdict is then on the change
        that put it in force.
    """

    verdict: Verdict | VerdictPending
    confirmations: Confirmations | None = None
    is_unchanged: bool = False

    @property
    def is_settled(self) -> bool:
        """Whether asking again can't bring another answer."""
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
        Of this process.
    verdict_timeout_s : float
        How long to look for a proposal's record in the log.
    confirm_timeout_s : float
        How long to wait for other processes to confirm.
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
            The set and its identity. One that was applied before is not
            appended again.

        Returns
        -------
        ApplyReport

        Raises
        ------
        LogUnavailableError
            If nothing was appended.
        NotReadyError
            If this process does not know what is in force.
        KeyReusedError
            If the apply id was used for another set.
        """
        await self._replica.refresh()
        fold = self._replica.state.fold
        known = fold.verdict(proposal.apply_id)
        if not isinstance(known, VerdictPending):
            _check_reuse(proposal, known)
            return await self._report(known)
        if not self._replica.is_caught_up:
            await self._replica.exchange.ask_peers(have_offset=0)
        if proposal.is_restart:
            return await self._restart(proposal)
        if not self._replica.is_caught_up:
            raise _not_ready()
        if proposal.base_revision not in (None, fold.revision):
            return ApplyReport(self._conflict(proposal))
        return await self._change(proposal)

    async def status(self, apply_id: str) -> ApplyReport:
        """Return what became of a proposal, as far as is known."""
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
        """Append once; an unanswered append counts as one that may have worked."""
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
        """Read on until the log tells, or the time is over."""
        fold = self._replica.state.fold
        deadline_s = self._replica.clock() + self._verdict_timeout_s
        while True:
            await self._read_on(deadline_s)
            verdict = fold.verdict(apply_id)
            if base_revision is not None:
                verdict = fold.verdict_from_base(apply_id, base_revision)
            is_over = self._replica.clock() >= deadline_s
            if is_over or not isinstance(verdict, VerdictPending):
                return verdict

    async def _read_on(self, deadline_s: float) -> None:
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
    is_other = isinstance(known, Accepted) and known.digest != proposal.documents.digest
    if is_other:
        raise KeyReusedError(
            f"The apply id {proposal.apply_id!r} was accepted with another set.",
            "Apply with a new apply id.",
            not_run=True,
        )


def _not_ready() -> NotReadyError:
    return NotReadyError(
        "This process does not know for sure which configuration is in force.",
        "Ask another entry, or look at the alarms in the status.",
        not_run=True,
    )
