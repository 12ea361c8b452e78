//! Tests of the memory for answers that are held.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

use std::sync::Arc;

use apricotknot_gateway::endpoint::AnswerBudget;
use apricotknot_gateway::endpoint::AnswerMemory;

const MIB: usize = 1_024 * 1_024;

#[test]
fn short_answers_are_held_though_long_ones_use_the_budget() {
    let budget = Arc::new(AnswerBudget::new(MIB));
    let mut long = AnswerMemory::new(Arc::clone(&budget));
    long.set_held(MIB).expect("the budget is unused");
    let mut other = AnswerMemory::new(Arc::clone(&budget));
    let error = other.set_held(MIB).expect_err("the budget is used");
    assert_eq!((error.given, error.limit), (MIB, MIB));
    other.set_held(60_000).expect("a short answer needs no part");
    drop(long);
    other.set_held(MIB).expect("the first answer is gone");
    other.set_held(0).expect("less is always possible");
    assert_eq!(budget.used(), 0);
}

// Guards against a budget that shrinks with each call.
#[test]
fn all_of_the_budget_is_given_back() {
    arbtest::arbtest(|source| {
        let budget = Arc::new(AnswerBudget::new(MIB));
        let mut calls: Vec<AnswerMemory> = Vec::new();
        for _ in 0..source.int_in_range(1..=60_u8)? {
            match source.int_in_range(0..=2_u8)? {
                0 => calls.push(AnswerMemory::new(Arc::clone(&budget))),
                1 if !calls.is_empty() => {
                    drop(calls.swap_remove(source.choose_index(calls.len())?))
                },
                _ if !calls.is_empty() => {
                    let index = source.choose_index(calls.len())?;
                    let _ = calls[index].set_held(source.int_in_range(0..=2 * MIB)?);
                },
                _ => {},
            }
            assert!(budget.used() <= MIB);
        }
        drop(calls);
        assert_eq!(budget.used(), 0);
        Ok(())
    });
}
