//! Individual cases of sharing endpoint budgets between nodes.

use std::time::Duration;

use apricotknot_core::admission::AssignmentOrigin;
use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::ChargeError;
use apricotknot_core::admission::ReconcileScope;
use apricotknot_core::admission::ShareAction;
use apricotknot_core::admission::ShareAssignment;
use apricotknot_core::admission::ShareLedger;
use apricotknot_core::admission::ShareMessage;
use apricotknot_core::types::MonotonicTime;

use share_fixture::BUDGET;
use share_fixture::ENDPOINT;
use share_fixture::NODES;
use share_fixture::node_id;
use share_fixture::settings;

#[path = "support/share_fixture.rs"]
mod share_fixture;

/// Lends the whole share of node 1 to node 0 at `now`; returns the ledgers of node 0 and node 1.
fn lend_whole_share(now: MonotonicTime) -> (ShareLedger, ShareLedger) {
    let assignment = ShareAssignment {
        endpoint: ENDPOINT.into(),
        epoch: 1,
        budget: BUDGET,
        holders: vec![node_id(1)],
        predecessors: Vec::new(),
        nodes: (0..NODES).map(node_id).collect(),
    };
    let mut owner = ShareLedger::new(node_id(0), 1, settings(), Duration::ZERO);
    let mut lender = ShareLedger::new(node_id(1), 1, settings(), Duration::ZERO);
    for ledger in [&mut owner, &mut lender] {
        ledger.assign(assignment.clone(), AssignmentOrigin::StoreNewEndpoint, now);
        ledger.set_owner(ENDPOINT, Some(node_id(0)));
    }
    for ShareAction::Send { message, .. } in owner.tick(now) {
        for ShareAction::Send { message, .. } in lender.receive(&node_id(0), message, now) {
            owner.receive(&node_id(1), message, now);
        }
    }
    assert_eq!(owner.usable(ENDPOINT, now), BUDGET);
    (owner, lender)
}

#[test]
fn a_node_that_reported_its_holdings_accepts_no_late_grant_from_the_same_loan() {
    let now = Duration::from_secs(100);
    let (mut owner, _) = lend_whole_share(now);
    let wanted = (BudgetAmount::new(10, 1), Duration::from_secs(5));
    let charge = owner.charge(ENDPOINT, 1, &node_id(2), wanted, now).unwrap();
    let mut runner = ShareLedger::new(node_id(2), 1, settings(), Duration::ZERO);
    let scope = ReconcileScope::Loan(charge.parts[0].source.clone());
    let request = ShareMessage::Reconcile { endpoint: ENDPOINT.into(), scope };
    assert_eq!(runner.receive(&node_id(1), request, now).len(), 1);
    assert!(matches!(runner.accept(charge), Err(ChargeError::SourceClosed { .. })));
}

#[test]
fn a_lender_waits_for_the_last_grant_of_a_borrower_with_a_slow_clock() {
    let now = Duration::from_secs(100);
    let (owner, mut lender) = lend_whole_share(now);
    let times = settings();
    let slow = times.loan_term + times.clock_margin / 2;
    assert!(owner.usable(ENDPOINT, now + times.loan_term) == BudgetAmount::default());
    let last_end = now + slow + times.start_timeout + times.max_hold;
    for time in [now + slow, last_end] {
        lender.tick(time);
        assert_eq!(lender.usable(ENDPOINT, time), BudgetAmount::default());
    }
    let free_at = last_end + times.clock_margin * 2;
    lender.tick(free_at);
    assert_eq!(lender.usable(ENDPOINT, free_at), BUDGET);
}

#[test]
fn a_smaller_budget_applies_immediately_and_a_larger_one_with_the_next_epoch() {
    let now = Duration::from_secs(100);
    let mut isolated = ShareLedger::new(node_id(0), 1, settings(), Duration::ZERO);
    let mut assignment = ShareAssignment {
        endpoint: ENDPOINT.into(),
        epoch: 1,
        budget: BUDGET,
        holders: vec![node_id(0)],
        predecessors: Vec::new(),
        nodes: vec![node_id(0)],
    };
    isolated.assign(assignment.clone(), AssignmentOrigin::StoreNewEndpoint, now);
    for (budget, usable) in [(600, 600), (900, 600)] {
        assignment.budget = BudgetAmount::new(budget, 12);
        isolated.assign(assignment.clone(), AssignmentOrigin::Store, now);
        assert_eq!(isolated.usable(ENDPOINT, now).memory_tokens, usable);
    }
    assignment.epoch = 2;
    isolated.assign(assignment, AssignmentOrigin::Store, now);
    assert_eq!(isolated.usable(ENDPOINT, now).memory_tokens, 900);
}

#[test]
fn an_isolated_holder_still_uses_its_own_share() {
    let mut isolated = ShareLedger::new(node_id(0), 1, settings(), Duration::ZERO);
    let assignment = ShareAssignment {
        endpoint: ENDPOINT.into(),
        epoch: 1,
        budget: BUDGET,
        holders: (0..NODES).map(node_id).collect(),
        predecessors: Vec::new(),
        nodes: (0..NODES).map(node_id).collect(),
    };
    let now = Duration::from_secs(100);
    isolated.assign(assignment, AssignmentOrigin::StoreNewEndpoint, now);
    assert_eq!(isolated.usable(ENDPOINT, now), BudgetAmount::new(250, 3));
    let wanted = (BudgetAmount::new(200, 1), Duration::from_secs(5));
    assert!(isolated.charge(ENDPOINT, 1, &node_id(0), wanted, now).is_ok());
    assert!(isolated.charge(ENDPOINT, 2, &node_id(0), wanted, now).is_err());
}

/// Delivers all due messages and replies between ledgers, and drops those to `absent`.
fn deliver_all(ledgers: &mut [(usize, ShareLedger)], absent: usize, now: MonotonicTime) {
    let mut queue = Vec::new();
    for (node, ledger) in ledgers.iter_mut() {
        queue.extend(ledger.tick(now).into_iter().map(|action| (*node, action)));
    }
    while let Some((from, ShareAction::Send { to, message })) = queue.pop() {
        let receiver = ledgers.iter_mut().find(|(node, _)| node_id(*node) == to && *node != absent);
        if let Some((node, ledger)) = receiver {
            let actions = ledger.receive(&node_id(from), message, now);
            queue.extend(actions.into_iter().map(|action| (*node, action)));
        }
    }
}

#[test]
fn a_stopped_owners_loan_returns_early_with_proof_and_at_its_deadline_without() {
    for has_proof in [true, false] {
        let now = Duration::from_secs(100);
        let (_, lender) = lend_whole_share(now);
        let others = [2, 3].map(|node| {
            let ledger = ShareLedger::new(node_id(node), 1, settings(), Duration::ZERO);
            (node, ledger)
        });
        let mut ledgers: Vec<(usize, ShareLedger)> = vec![(1, lender)];
        ledgers.extend(others);
        let mut time = now;
        while ledgers[0].1.usable(ENDPOINT, time) != BUDGET {
            time += Duration::from_millis(250);
            if has_proof {
                ledgers[0].1.record_stopped_node(&node_id(0), 2, time);
            }
            deliver_all(&mut ledgers, 0, time);
            assert!(time < now + Duration::from_secs(60), "the loan was not returned");
        }
        let soon = now + settings().loan_term + settings().orphan_hold;
        assert_eq!(time <= soon, has_proof, "returned after {:?}", time - now);
    }
}

#[test]
fn work_finished_on_an_unreachable_owners_loan_is_free_before_its_deadline() {
    let now = Duration::from_secs(100);
    let (mut owner, lender) = lend_whole_share(now);
    let wanted = (BudgetAmount::new(600, 1), Duration::from_secs(5));
    let charge = owner.charge(ENDPOINT, 1, &node_id(2), wanted, now).unwrap();
    let mut runner = ShareLedger::new(node_id(2), 1, settings(), Duration::ZERO);
    runner.accept(charge).unwrap();
    let other = ShareLedger::new(node_id(3), 1, settings(), Duration::ZERO);
    let mut ledgers = vec![(1, lender), (2, runner), (3, other)];
    let closed = now + settings().loan_term + settings().clock_margin;
    deliver_all(&mut ledgers, 0, closed);
    assert_eq!(ledgers[0].1.usable(ENDPOINT, closed), BudgetAmount::default());
    ledgers[1].1.finish(1);
    deliver_all(&mut ledgers, 0, closed + settings().repeat_interval);
    assert_eq!(ledgers[0].1.usable(ENDPOINT, closed), BudgetAmount::new(600, 1));
}
