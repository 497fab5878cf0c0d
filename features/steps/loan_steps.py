"""Steps of links.feature that exchange single loans."""

from behave import given
from behave import then
from behave import when

from almondstair.core.links import LinkShare

# The quiet period after a start is over by then.
QUIET_PERIOD_END_S = 2.0
STEP_S = 0.3


def _share(context, name, incarnation, now_s):
    share = LinkShare(
        link="zone-1>region-2",
        entry_name=name,
        incarnation=incarnation,
        cap_bytes_per_s=context.cap,
        now_s=now_s,
    )
    share.apply_table(
        epoch=1, entries=("a", "b"), from_platform=True, now_s=now_s
    )
    for peer in ("a", "b"):
        share.record_acknowledgement(entry=peer, epoch=1, now_s=now_s)
    return share


def _next_loan_request(context):
    # Only an entry that had to wait requests a loan.
    context.borrower.acquire(size_bytes=context.cap, now_s=context.now_s)
    (request,) = context.borrower.next_loan_requests(now_s=context.now_s)
    return request


@given("a lender and a borrower of a link of {cap:d} bytes/s")
def lender_and_borrower(context, cap):
    context.cap = cap
    context.lender = _share(context, "a", 1, 0.0)
    context.borrower = _share(context, "b", 2, 0.0)
    context.now_s = QUIET_PERIOD_END_S
    context.loans = []


@when("the borrower asks and the lender lends")
def ask_and_lend_cap(context):
    ask_and_lend(context, context.cap)


@when("the borrower asks for {wanted:d} bytes/s and the lender lends")
def ask_and_lend(context, wanted):
    context.now_s += STEP_S
    context.request = _next_loan_request(context)._replace(
        wanted_bytes_per_s=wanted
    )
    loan = context.lender.lend(request=context.request, now_s=context.now_s)
    assert loan is not None
    context.loans.append(loan)


@when("the borrower restarts and asks again")
def borrower_restarts(context):
    context.borrower = _share(context, "b", 3, context.now_s)
    request = _next_loan_request(context)
    assert request.sequence == context.loans[0].sequence


@when("the first loan arrives")
def first_arrives(context):
    context.borrower.accept(loan=context.loans[0], now_s=context.now_s)


@when("the second loan arrives")
def second_arrives(context):
    context.borrower.accept(loan=context.loans[1], now_s=context.now_s)


@when("the lender adopts epoch {epoch:d} with {count:d} entries")
def lender_adopts(context, epoch, count):
    names = tuple("abcdefghij"[:count])
    context.lender.apply_table(
        epoch=epoch, entries=names, from_platform=True, now_s=context.now_s
    )


@when("the same request comes again {later_s:f} s later")
def request_again(context, later_s):
    context.now_s += later_s
    loan = context.lender.lend(request=context.request, now_s=context.now_s)
    assert loan == context.loans[0]


def _borrowed(context):
    return context.borrower.status(now_s=context.now_s).borrowed_bytes_per_s


def _lent(context):
    return context.lender.status(now_s=context.now_s).lent_bytes_per_s


@then("the borrower holds {share:d} bytes/s")
def borrower_holds(context, share):
    assert _borrowed(context) == share, _borrowed(context)


@then("the borrower holds the second loan")
def borrower_holds_second(context):
    first, second = context.loans
    assert second.share_bytes_per_s < first.share_bytes_per_s
    assert _borrowed(context) == second.share_bytes_per_s


@then("the second loan is smaller than the first")
def second_is_smaller(context):
    first, second = context.loans
    assert second.share_bytes_per_s < first.share_bytes_per_s


@then("the lender counts as much as the borrower holds")
def counts_as_much(context):
    held = _borrowed(context)
    assert held == context.loans[0].share_bytes_per_s
    assert _lent(context) == held, (_lent(context), held)


@then("the lender acknowledges epoch {epoch:d}")
def acknowledges(context, epoch):
    acknowledged = context.lender.acknowledged_epoch(now_s=context.now_s)
    assert acknowledged == epoch, acknowledged


@then("the lender acknowledges epoch {epoch:d} after {later_s:f} s")
def acknowledges_after(context, epoch, later_s):
    context.now_s += later_s
    acknowledges(context, epoch)


@then("the lender counts as ended after {later_s:f} s what it lent")
def counts_as_ended(context, later_s):
    assert _lent(context) == context.loans[0].share_bytes_per_s
    context.now_s += later_s
    assert _lent(context) == 0, _lent(context)
