"""Admission of one customer's requests.

Guards against quota that no entry can use, and against quota counted twice, at
its lender and at its borrower.
"""

from dataclasses import replace
from random import Random

from dandelionstage.limits.admission import Admission
from dandelionstage.limits.leases import Lease
from dandelionstage.limits.published_share import PublishedShare
from dandelionstage.limits.quota_account import QuotaAccount
from dandelionstage.limits.quota_meter import QuotaMeter
from dandelionstage.model.ids import VmId
from dandelionstage.model.verdict import Reason, Run
from tests.owner_fakes import DATA_CENTRE
from tests.test_quota import COST, EntryNode, make_contract, make_documents

VMS = tuple(map(VmId, 'abcde'))
CONTRACT = make_contract(2000)
#: Quota of one of the two data centres, in sub-requests per second.
DATA_CENTRE_PER_S = 1000
TOPOLOGY = replace(make_documents(CONTRACT), vm_lists={DATA_CENTRE: VMS})


def make_entries():
    """Make five entries that follow the same list."""
    entries = {vm: EntryNode(vm, CONTRACT) for vm in VMS}
    for entry in entries.values():
        entry.use_topology(TOPOLOGY, 0)
    return entries


def find_entry(entries, vm):
    """List the entry of a VM, no entry if the VM cannot be reached."""
    return [entry for name, entry in entries.items() if name == vm]


def run(entries, busy, until_ms, from_ms=0):
    """Send queries to the busy entries; messages take no time."""
    for now_ms in range(from_ms, until_ms, 10):
        for vm, entry in entries.items():
            entry.work(now_ms, busy=vm in busy)
            for to, request in entry.requests(now_ms):
                for lender in find_entry(entries, to):
                    grant = lender.receive_request(vm, request, now_ms)
                    entry.receive_grant(to, grant, now_ms)


def test_busy_entry_borrows_the_unused_quota_of_others():
    entries = make_entries()
    run(entries, VMS[:1], 3000)
    before = entries['a'].admitted
    run(entries, VMS[:1], 6000, 3000)
    # Of the static quarter, an entry uses one of 5 + 2 parts (five VMs and
    # two of headroom).
    unused = 0.25 * (1 - 1 / 7)
    admitted_per_s = (entries['a'].admitted - before) / 3
    assert admitted_per_s >= DATA_CENTRE_PER_S * (1 - unused) * 0.97


def test_isolated_entry_admits_its_static_share():
    entries = {VMS[0]: make_entries()[VMS[0]]}
    run(entries, VMS[:1], 4000)
    static_per_s = 0.25 * DATA_CENTRE_PER_S / 7
    assert abs(entries['a'].admitted - 4 * static_per_s) <= 2 * COST


def test_refusal_has_a_reason_and_a_retry_time():
    admission = Admission(VMS[0], DATA_CENTRE, Random(1))
    unknown = admission.admit(CONTRACT, 1, 0)
    assert unknown.reason is Reason.UNKNOWN_CUSTOMER
    admission.use_topology(TOPOLOGY, 0)
    assert admission.admit(CONTRACT, 100, 1) is None
    refused = admission.admit(CONTRACT, 100, 2)
    assert (refused.run, refused.reason) == (Run.NOT_RUN, Reason.QUOTA_EXCEEDED)
    assert refused.retry_after_ms > 1000


def test_queries_in_flight_are_bounded():
    admission = Admission(VMS[0], DATA_CENTRE, Random(1))
    admission.use_topology(TOPOLOGY, 0)
    admitted = 0
    while admission.admit(CONTRACT, 0, 1) is None:
        admitted += 1
    assert admission.admit(CONTRACT, 0, 1).reason is Reason.ADMISSION_FULL
    admission.release(CONTRACT)
    assert admission.admit(CONTRACT, 0, 1) is None
    # 2000 queries/s over 5 VMs x 0.4 s deadline x 3 for uneven balance.
    assert admitted == 480


def test_ended_lease_adds_no_tokens():
    account = QuotaAccount()
    meter = QuotaMeter(account, 0)
    account.borrowed.add(VMS[1], Lease(100, 500))
    assert meter.take(80, 0) == 0
    assert meter.take(1, 1000) > 0


def test_lender_confirms_no_share_while_its_loans_exceed_its_own():
    account = QuotaAccount()
    possible_holders = frozenset(VMS)
    account.own.follow(
        PublishedShare(10, (), possible_holders, 'x'), possible_holders, 0
    )
    assert account.lend(VMS[1], 10, 5000) == 10
    assert account.holds_nothing_of(VMS[2], 5000)
    account.own.follow(
        PublishedShare(5, (), possible_holders, 'y'), possible_holders, 5001
    )
    assert not account.holds_nothing_of(VMS[2], 5001)
    assert account.holds_nothing_of(VMS[2], 7001)


def test_restarted_lender_is_not_confirmed_while_its_loan_runs():
    account = QuotaAccount()
    account.borrowed.add(VMS[1], Lease(10, 2000))
    assert not account.holds_nothing_of(VMS[1], 1999)
    assert account.holds_nothing_of(VMS[1], 2000)
