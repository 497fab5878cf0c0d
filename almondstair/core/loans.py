"""Loans of idle link share between the entries of an availability zone.

A loan is safe because of four rules, which `spec/loans.py` checks:

* The lender lowers its own use before the loan is sent.
* The borrower counts the term from when it asked, the lender from when it
  sent, which is later, and the lender adds a margin for clock drift. So the
  borrower always stops first, without a message.
* A loan belongs to one epoch of the entry table; the borrower drops it when it
  adopts another epoch.
* A message is matched to its request by number and incarnation, so one that
  is duplicated, late, or meant for an earlier process changes nothing.
"""

from typing import NamedTuple


class LoanTiming(NamedTuple):
    """Durations of the loans; equal on every entry.

    Attributes:
      term_s: how long a borrower uses a loan, counted from when it asked.
      drift_fraction: how much faster one clock may run than another, the clock
        of whoever measures the link among them.
      ask_interval_s: shortest time between two rounds of requests.
    """

    term_s: float = 1.0
    drift_fraction: float = 0.005
    ask_interval_s: float = 0.25

    @property
    def lender_term_s(self) -> float:
        """How long a lender goes without what it lent."""
        return self.term_s * (1.0 + self.drift_fraction)


class LoanRequest(NamedTuple):
    """An entry asks a peer for idle share.

    Attributes:
      link: name of the link and direction.
      borrower: entry that asks.
      lender: entry that is asked.
      incarnation: number of the borrower's process, new at each start.
      sequence: number of the request, growing within an incarnation.
      epoch: epoch of the entry table that the borrower has adopted.
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
    """The answer to a `LoanRequest`; it repeats what it answers.

    Attributes:
      link: name of the link and direction.
      borrower: entry that asked.
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
    """One loan as its lender counts it."""

    share_bytes_per_s: int
    until_s: float


class _Borrower:
    """What a lender knows of one borrower."""

    def __init__(self) -> None:
        self.terms: list[_LentTerm] = []
        self.last_loan: Loan | None = None
        self.asked_s = 0.0

    def share_bytes_per_s(self) -> int:
        """The most that the borrower can be using.

        A borrower uses one loan of a lender at a time, the newest that reached
        it. The lender cannot know which one that is, so it counts the largest.
        """
        largest = 0
        for term in self.terms:
            largest = max(largest, term.share_bytes_per_s)
        return largest


class _LoanTable:
    """Loans of one link on one side, and their sum."""

    def __init__(self, *, timing: LoanTiming) -> None:
        """Makes an empty book."""
        self._timing = timing
        self._share_bytes_per_s = 0
        self._next_end_s = float("inf")

    @property
    def share_bytes_per_s(self) -> int:
        """Sum of what may be in use on this side's loans."""
        return self._share_bytes_per_s

    @property
    def next_end_s(self) -> float:
        """When the next loan ends."""
        return self._next_end_s


class LentBook(_LoanTable):
    """What one entry has lent on one link."""

    def __init__(self, *, timing: LoanTiming) -> None:
        """Makes an empty book."""
        super().__init__(timing=timing)
        self._borrowers: dict[str, _Borrower] = {}

    def share_of(self, *, borrower: str) -> int:
        """Returns what `borrower` may be using, in bytes per second."""
        account = self._borrowers.get(borrower)
        if account is None:
            return 0
        return account.share_bytes_per_s()

    def expire(self, *, now_s: float) -> None:
        """Forgets the terms that ended by `now_s`."""
        if now_s < self._next_end_s:
            return
        for account in self._borrowers.values():
            kept = []
            for term in account.terms:
                if term.until_s > now_s:
                    kept.append(term)
            account.terms = kept
        self._recount()

    def forget_except(self, *, entries: tuple[str, ...]) -> None:
        """Forgets entries that are gone, once their terms have ended."""
        for borrower, account in tuple(self._borrowers.items()):
            if account.terms or borrower in entries:
                continue
            del self._borrowers[borrower]

    def repeated(self, *, request: LoanRequest) -> Loan | None:
        """Returns the loan already sent for this request, if there is one."""
        account = self._borrowers.get(request.borrower)
        if account is None or account.last_loan is None:
            return None
        if _same_request(account.last_loan, request):
            return account.last_loan
        return None

    def is_late(self, *, request: LoanRequest) -> bool:
        """Whether a newer request of the same process was answered."""
        account = self._borrowers.get(request.borrower)
        if account is None or account.last_loan is None:
            return False
        if account.last_loan.incarnation != request.incarnation:
            return False
        return request.sequence < account.last_loan.sequence

    def note_asked(self, *, borrower: str, now_s: float) -> int:
        """Notes a request and returns how many borrowers asked of late."""
        self._borrower(borrower).asked_s = now_s
        asking = 0
        for account in self._borrowers.values():
            if now_s - account.asked_s <= self._timing.term_s:
                asking += 1
        return asking

    def add(self, *, loan: Loan, now_s: float) -> None:
        """Counts a loan from `now_s` on; called before the loan is sent."""
        account = self._borrower(loan.borrower)
        account.last_loan = loan
        until_s = now_s + self._timing.lender_term_s
        account.terms.append(_LentTerm(loan.share_bytes_per_s, until_s))
        self._recount()

    def _borrower(self, borrower: str) -> _Borrower:
        return self._borrowers.setdefault(borrower, _Borrower())

    def _recount(self) -> None:
        self._share_bytes_per_s = 0
        self._next_end_s = float("inf")
        for account in self._borrowers.values():
            self._share_bytes_per_s += account.share_bytes_per_s()
            for term in account.terms:
                self._next_end_s = min(self._next_end_s, term.until_s)


class _Request(NamedTuple):
    """A request whose loan has not come yet."""

    sequence: int
    asked_s: float


class _BorrowedTerm(NamedTuple):
    """A loan as its borrower counts it."""

    sequence: int
    share_bytes_per_s: int
    until_s: float


class BorrowedBook(_LoanTable):
    """What one entry has borrowed on one link, at its present epoch."""

    def __init__(self, *, timing: LoanTiming) -> None:
        """Makes an empty book."""
        super().__init__(timing=timing)
        self._sequence = 0
        self._requests: dict[str, list[_Request]] = {}
        self._held: dict[str, _BorrowedTerm] = {}

    @property
    def lenders(self) -> tuple[str, ...]:
        """Entries whose share is held now."""
        return tuple(self._held)

    def due_lenders(self, *, now_s: float) -> tuple[str, ...]:
        """Returns the lenders whose loans have spent half of their term.

        Asked sooner, every lender of a large zone would get and send messages
        in each round; asked later, one lost message would end the loan.
        """
        due = []
        for lender, held in self._held.items():
            if held.until_s - now_s <= self._timing.term_s / 2:
                due.append(lender)
        return tuple(due)

    def drop_all(self) -> None:
        """Forgets every loan and request; done with each new epoch.

        Without this a loan from an entry that is gone would still be used
        while the others already divide the whole cap among themselves. One
        would notice a link over its cap for up to a term after the change.
        """
        self._requests.clear()
        self._held.clear()
        self._recount()

    def next_sequence(self, *, lender: str, now_s: float) -> int:
        """Notes a request made at `now_s` and returns its number."""
        self._sequence += 1
        waiting = []
        for request in self._requests.get(lender, ()):
            if now_s - request.asked_s < self._timing.term_s:
                waiting.append(request)
        waiting.append(_Request(self._sequence, now_s))
        self._requests[lender] = waiting
        return self._sequence

    def accept(self, *, loan: Loan, now_s: float) -> bool:
        """Takes a loan up.

        Returns:
          False when no request waits for it, when a newer one is held
          already, or when its term, counted from the request, has passed.
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
        """Stops the use of loans that ended by `now_s`."""
        if now_s < self._next_end_s:
            return
        for lender, held in tuple(self._held.items()):
            if held.until_s <= now_s:
                del self._held[lender]
        self._recount()

    def _pop_request(self, *, lender: str, sequence: int) -> float | None:
        """Returns when the request was made, and stops waiting for it."""
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
