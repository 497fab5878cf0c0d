"""Loans of idle link share between the entries of an availability zone.

A loan is safe because of four rules, which `spec/loans.py` checks:

* The lender lowers its own use before it sends the loan.
* The borrower counts the term from its request, the lender from its later
  answer, and the lender adds a margin for clock drift. So the borrower always
  stops first, without a message.
* A loan belongs to one epoch of the entry table; the borrower drops it when it
  applies another epoch.
* A loan is matched to its request by sequence number and incarnation, so one
  that is duplicated, late, or meant for an earlier process has no effect.
"""

from typing import NamedTuple


class LoanTiming(NamedTuple):
    """Holds the durations of loans; they are the same on every entry.

    Attributes:
      term_s: how long a borrower uses a loan, counted from its request.
      drift_fraction: how much faster one clock may run than another, including
        the clock that measures the use of the link.
      ask_interval_s: shortest time between two rounds of requests.
    """

    term_s: float = 1.0
    drift_fraction: float = 0.005
    ask_interval_s: float = 0.25

    @property
    def lender_term_s(self) -> float:
        """How long a lender does not use the share that it lent."""
        return self.term_s * (1.0 + self.drift_fraction)


class LoanRequest(NamedTuple):
    """Asks a peer for idle share.

    Attributes:
      link: name of the link and direction.
      borrower: entry that sends the request.
      lender: entry that receives it.
      incarnation: number of the borrower's process, new at each start.
      sequence: number of the request, increasing within an incarnation.
      epoch: epoch of the entry table that the borrower has applied.
      wanted_bytes_per_s: share that the borrower could use.
    """

    link: str
    borrower: str
    lender: str
    incarnation: int
    sequence: int
    epoch: int
    wanted_bytes_per_s: int


class Loan(NamedTuple):
    """Answers a `LoanRequest` and repeats its identifying fields.

    Attributes:
      link: name of the link and direction.
      borrower: entry that sent the request.
      lender: entry that lends.
      incarnation: incarnation of the request.
      sequence: sequence of the request.
      epoch: epoch of the request.
      share_bytes_per_s: share that is lent.
    """

    link: str
    borrower: str
    lender: str
    incarnation: int
    sequence: int
    epoch: int
    share_bytes_per_s: int


class _LentTerm(NamedTuple):
    """Holds the share and the end of one loan, as its lender counts it."""

    share_bytes_per_s: int
    until_s: float


class _BorrowerState:
    """A lender's state for one borrower."""

    def __init__(self) -> None:
        self.terms: list[_LentTerm] = []
        self.last_loan: Loan | None = None
        self.asked_s = 0.0

    def share_bytes_per_s(self) -> int:
        """Returns the most that the borrower can be using.

        A borrower uses one loan of a lender at a time, the newest that it has
        received. The lender cannot know which one that is, so it counts the
        largest.
        """
        largest = 0
        for term in self.terms:
            largest = max(largest, term.share_bytes_per_s)
        return largest


class _LoanTable:
    """Loans of one link on the side of the lender or the borrower."""

    def __init__(self, *, timing: LoanTiming) -> None:
        """Starts without loans."""
        self._timing = timing
        self._share_bytes_per_s = 0
        self._next_end_s = float("inf")

    @property
    def share_bytes_per_s(self) -> int:
        """Total share that may be in use under these loans."""
        return self._share_bytes_per_s

    @property
    def next_end_s(self) -> float:
        """When the next loan ends."""
        return self._next_end_s


class LentLoans(_LoanTable):
    """Loans that one entry has made on one link."""

    def __init__(self, *, timing: LoanTiming) -> None:
        """Starts without loans."""
        super().__init__(timing=timing)
        self._borrowers: dict[str, _BorrowerState] = {}

    def share_of(self, *, borrower: str) -> int:
        """Returns what `borrower` may be using, in bytes per second."""
        state = self._borrowers.get(borrower)
        if state is None:
            return 0
        return state.share_bytes_per_s()

    def expire(self, *, now_s: float) -> None:
        """Removes the terms that ended by `now_s`."""
        if now_s < self._next_end_s:
            return
        for state in self._borrowers.values():
            kept = []
            for term in state.terms:
                if term.until_s > now_s:
                    kept.append(term)
            state.terms = kept
        self._recount()

    def retain_entries(self, *, entries: tuple[str, ...]) -> None:
        """Removes borrowers not in `entries` whose terms have ended."""
        for borrower, state in tuple(self._borrowers.items()):
            if state.terms or borrower in entries:
                continue
            del self._borrowers[borrower]

    def sent_loan(self, *, request: LoanRequest) -> Loan | None:
        """Returns the loan already sent for this request, if any."""
        state = self._borrowers.get(request.borrower)
        if state is None or state.last_loan is None:
            return None
        if _same_request(state.last_loan, request):
            return state.last_loan
        return None

    def is_outdated(self, *, request: LoanRequest) -> bool:
        """Returns whether a newer request of that process was answered."""
        state = self._borrowers.get(request.borrower)
        if state is None or state.last_loan is None:
            return False
        if state.last_loan.incarnation != request.incarnation:
            return False
        return request.sequence < state.last_loan.sequence

    def record_request(self, *, borrower: str, now_s: float) -> int:
        """Records a request made at `now_s`.

        Returns:
          How many borrowers have made a request within the last term.
        """
        self._state_of(borrower).asked_s = now_s
        asking = 0
        for state in self._borrowers.values():
            if now_s - state.asked_s <= self._timing.term_s:
                asking += 1
        return asking

    def add(self, *, loan: Loan, now_s: float) -> None:
        """Counts a loan from `now_s` on; called before the loan is sent."""
        state = self._state_of(loan.borrower)
        state.last_loan = loan
        until_s = now_s + self._timing.lender_term_s
        state.terms.append(_LentTerm(loan.share_bytes_per_s, until_s))
        self._recount()

    def _state_of(self, borrower: str) -> _BorrowerState:
        return self._borrowers.setdefault(borrower, _BorrowerState())

    def _recount(self) -> None:
        self._share_bytes_per_s = 0
        self._next_end_s = float("inf")
        for state in self._borrowers.values():
            self._share_bytes_per_s += state.share_bytes_per_s()
            for term in state.terms:
                self._next_end_s = min(self._next_end_s, term.until_s)


class _Request(NamedTuple):
    """Holds a request whose loan has not arrived yet."""

    sequence: int
    asked_s: float


class _BorrowedTerm(NamedTuple):
    """Holds one loan as its borrower counts it."""

    sequence: int
    share_bytes_per_s: int
    until_s: float


class BorrowedLoans(_LoanTable):
    """Loans that one entry has received on one link, at one epoch."""

    def __init__(self, *, timing: LoanTiming) -> None:
        """Starts without loans."""
        super().__init__(timing=timing)
        self._sequence = 0
        self._requests: dict[str, list[_Request]] = {}
        self._held: dict[str, _BorrowedTerm] = {}

    @property
    def lenders(self) -> tuple[str, ...]:
        """Entries whose loans are in use now."""
        return tuple(self._held)

    def lenders_to_renew(self, *, now_s: float) -> tuple[str, ...]:
        """Returns the lenders whose loans are past half of their term.

        If they were asked sooner, every lender of a large zone would get and
        send messages in each round; if later, one lost message would end the
        loan.
        """
        due = []
        for lender, held in self._held.items():
            if held.until_s - now_s <= self._timing.term_s / 2:
                due.append(lender)
        return tuple(due)

    def clear(self) -> None:
        """Removes all loans and requests; called at each new epoch.

        Otherwise a loan from an entry that has left would still be used while
        the remaining entries already divide the whole cap, so the link would be
        over its cap for up to a term after the change.
        """
        self._requests.clear()
        self._held.clear()
        self._recount()

    def next_sequence(self, *, lender: str, now_s: float) -> int:
        """Records a request made at `now_s`; returns its sequence number."""
        self._sequence += 1
        waiting = []
        for request in self._requests.get(lender, ()):
            if now_s - request.asked_s < self._timing.term_s:
                waiting.append(request)
        waiting.append(_Request(self._sequence, now_s))
        self._requests[lender] = waiting
        return self._sequence

    def accept(self, *, loan: Loan, now_s: float) -> bool:
        """Adds a received loan.

        Returns:
          False if no request waits for it, if a newer loan of that lender is
          in use, or if its term, counted from the request, has ended.
        """
        asked_s = self._pop_request(lender=loan.lender, sequence=loan.sequence)
        if asked_s is None:
            return False
        until_s = asked_s + self._timing.term_s
        if until_s <= now_s:
            return False
        held = self._held.get(loan.lender)
        if held is not None and held.sequence > loan.sequence:
            return False
        self._held[loan.lender] = _BorrowedTerm(
            loan.sequence, loan.share_bytes_per_s, until_s
        )
        self._recount()
        return True

    def expire(self, *, now_s: float) -> None:
        """Removes the loans that ended by `now_s`."""
        if now_s < self._next_end_s:
            return
        for lender, held in tuple(self._held.items()):
            if held.until_s <= now_s:
                del self._held[lender]
        self._recount()

    def _pop_request(self, *, lender: str, sequence: int) -> float | None:
        """Removes a request; returns when it was made, None if not found."""
        waiting = self._requests.get(lender, [])
        for request in waiting:
            if request.sequence != sequence:
                continue
            waiting.remove(request)
            return request.asked_s
        return None

    def _recount(self) -> None:
        self._share_bytes_per_s = 0
        self._next_end_s = float("inf")
        for held in self._held.values():
            self._share_bytes_per_s += held.share_bytes_per_s
            self._next_end_s = min(self._next_end_s, held.until_s)


def _same_request(loan: Loan, request: LoanRequest) -> bool:
    if loan.incarnation != request.incarnation:
        return False
    return loan.sequence == request.sequence
