"""Mutation tests of the history: one message changed at a time, and faults planted in the code."""

import msgspec
import pytest
import test_history as tests

from hillchute.history import claims
from hillchute.history.claims import Claims
from hillchute.history.messages import MESSAGE_TYPES, LeaseReply, LeaseUpdate, ReplicateReply, SlotRedirect
from hillchute.history.record_store import RecordStore
from hillchute.history.records import Record, RecordState
from hillchute.history.replication import Replication, ReplicationRound
from hillchute.history.retention import RetentionPolicies
from hillchute.history.slot_table import SlotTable
from hillchute.history.view_protocol import ViewProtocol
from hillchute.history.views import VIEW_LEASE
from hillchute.lab.history_mutants import (
    BYZANTINE_MUTATIONS,
    NETWORK_MUTATIONS,
    MutatedHistoryNet,
    play,
    sample_mutants,
)


def test_mutants_violate_no_invariant_and_network_faults_do_not_change_the_result():
    report = play(1, 250)
    assert report["broken"] == report["unlike"] == 0, report["first"]
    assert report["messages"] > 3_000 and report["kinds"] > 100 and report["unused"] < report["mutants"] / 2


def test_same_seed_gives_the_same_run():
    runs = [MutatedHistoryNet(seed).script() for seed in (1, 1)]
    assert runs[0].messages == runs[1].messages and runs[0].final_state() == runs[1].final_state()


def test_every_message_type_is_mutated_in_every_way():
    unchanged = MutatedHistoryNet(1).script()
    mutated = {
        (type(unchanged.messages[at]).__name__, change)
        for at, change, _ in sample_mutants(unchanged, 1, None)
    }
    # The script has no redirected slot request and no partners.
    absent = {SlotRedirect, LeaseUpdate, LeaseReply}
    kinds = {kind.__name__ for kind in MESSAGE_TYPES if kind not in absent}
    assert mutated >= {
        (kind, change) for kind in kinds for change in (*NETWORK_MUTATIONS, *BYZANTINE_MUTATIONS)
    }


# ---- planted faults ----


def complete_without_replication(self, record):
    self.complete(ReplicationRound(0, record, set(), self._context.now, self._context.now))


def complete_without_fetch(self, number, slot, view):
    APPLY_VIEW(self, number, slot, view)
    self.mark_complete(number, slot)


def loss_not_recorded(self, number, slot, view):
    DECLARE_LOST(self, number, slot, view)
    slot.lost_at = None


def run_again_after_router_loss(self, sender, claim):
    decided, known = DECIDE_CLAIM(self, sender, claim)
    if (
        known is not None
        and known.record.state == RecordState.RUNNING
        and known.record.router not in self._context.live_routers()
    ):
        self._records.remove(known.record)
        return DECIDE_CLAIM(self, sender, claim)
    return decided, known


def decide_without_order(policies, facts, now, has_capacity):
    return DECIDE(policies, msgspec.structs.replace(facts, earlier_running=None), now, has_capacity)


def acknowledge_without_storing(self, sender, request):
    self._context.send(sender, ReplicateReply(request.view, request.number, True))


APPLY_VIEW, DECLARE_LOST, DECIDE_CLAIM, DECIDE = (
    SlotTable.apply_view,
    SlotTable.declare_lost,
    Claims.decide,
    claims.decide,
)


@pytest.mark.parametrize(
    ("owner", "name", "fault", "rule"),
    [
        (Replication, "replicate", complete_without_replication, "ran twice"),
        (Replication, "answer_request", acknowledge_without_storing, "ran twice"),
        (SlotTable, "apply_view", complete_without_fetch, "ran twice"),
        (SlotTable, "declare_lost", loss_not_recorded, "ran twice"),
        (Claims, "decide", run_again_after_router_loss, "ran twice"),
        (claims, "decide", decide_without_order, "out of order"),
        (RetentionPolicies, "is_erasure_requested", lambda self, *arguments: False, "kept too long"),
    ],
)
def test_planted_fault_is_found_by_the_scripted_run(monkeypatch, owner, name, fault, rule):
    assert not MutatedHistoryNet(1).script().broken_rules
    monkeypatch.setattr(owner, name, fault)
    assert MutatedHistoryNet(1).script().broken_rules[rule]


def test_planted_fault_in_record_versions_changes_the_result(monkeypatch):
    end = MutatedHistoryNet(1).script().final_state()
    monkeypatch.setattr(
        Record, "version", property(lambda self: (self.attempt, self.state == RecordState.RUNNING))
    )
    assert MutatedHistoryNet(1).script().final_state() != end


# ---- planted faults in the view protocol ----


def always_may_grant(self, now):
    return True


def always_has_granted(self, now, sender, promise, *arguments):
    return HANDLE_PROMISE(self, now, sender, msgspec.structs.replace(promise, has_granted=True), *arguments)


def promise_not_kept(self, now, view_id):
    highest = self.highest
    promise = ANSWER_REQUEST(self, now, view_id)
    self.highest = highest
    return promise


def always_grants(self, now, view_id, sent_at, policies_number):
    grant = ANSWER_HEARTBEAT(self, now, view_id, sent_at, policies_number)
    return msgspec.structs.replace(grant, given=True)


def lease_never_expires(self, now):
    return self.lease_until > 0


HANDLE_PROMISE, ANSWER_REQUEST, ANSWER_HEARTBEAT = (
    ViewProtocol.handle_promise,
    ViewProtocol.answer_request,
    ViewProtocol.answer_heartbeat,
)


@pytest.mark.parametrize(
    ("name", "fault", "found_by"),
    [
        (
            "may_grant",
            always_may_grant,
            tests.test_restarted_router_grants_nothing_for_two_leases,
        ),
        (
            "handle_promise",
            always_has_granted,
            tests.test_view_takes_over_from_its_predecessor_only_if_a_majority_has_granted,
        ),
        (
            "answer_request",
            promise_not_kept,
            tests.test_router_grants_no_view_below_one_that_it_promised,
        ),
        (
            "answer_heartbeat",
            always_grants,
            tests.test_router_grants_no_view_below_one_that_it_promised,
        ),
        ("in_force", lease_never_expires, tests.test_lease_counts_from_the_grant_and_is_limited),
        ("in_force", lease_never_expires, tests.test_minority_side_of_a_partition_neither_replays_nor_runs),
        ("is_plausible", lambda *arguments: True, tests.test_view_number_far_ahead_of_the_clock_is_refused),
        (
            "lease_remaining",
            lambda self, now: VIEW_LEASE,
            tests.test_proposed_view_not_in_force_for_a_lease_is_dropped,
        ),
    ],
)
def test_planted_fault_in_views_is_found_by_a_test(monkeypatch, name, fault, found_by):
    found_by()
    monkeypatch.setattr(ViewProtocol, name, fault)
    with pytest.raises(AssertionError):
        found_by()


@pytest.mark.parametrize(
    ("fault", "found_by"),
    [
        (lambda self: None, tests.test_late_copy_does_not_restore_an_erased_record),
        (None, tests.test_flood_of_one_customer_evicts_no_record_within_its_least_time),
    ],
)
def test_planted_fault_in_records_is_found_by_a_test(monkeypatch, fault, found_by):
    found_by()
    if fault is None:
        monkeypatch.setattr(RecordStore, "may_evict", staticmethod(lambda *arguments: True))
    else:
        monkeypatch.setattr(
            RetentionPolicies, "must_be_erased", lambda self, customer, key, granted_at, age: False
        )
    with pytest.raises(AssertionError):
        found_by()
