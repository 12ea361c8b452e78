//! Tests the request tracker, with random events checked against what simulated endpoints ran.

#![allow(clippy::expect_used, clippy::unwrap_used)]

#[path = "support/seed_list.rs"]
mod seed_list;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::outcome::CallerError;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::outcome::DropReason;
use apricotknot_core::outcome::FinalOutcome;
use apricotknot_core::outcome::LossCause;
use apricotknot_core::outcome::RequestAction;
use apricotknot_core::outcome::RequestEvent;
use apricotknot_core::outcome::RequestTracker;
use apricotknot_core::outcome::RetryBudget;
use apricotknot_core::outcome::TrackerPolicy;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::ExecutionCertainty;
use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;

/// Records what the endpoint of one attempt really did; the tracker does not see it.
#[derive(Debug, Default)]
struct SimulatedAttempt {
    sent: bool,
    /// Whether the endpoint started to run the attempt.
    started: bool,
    /// Whether the head or a refusal of this attempt reached the node.
    head_received: bool,
    resumed: bool,
    /// Number of chunks of the whole answer.
    chunks: u64,
    /// Index of the next chunk that the endpoint sends.
    delivered: u64,
    /// Whether the attempt holds a grant that was not released.
    open: bool,
}

/// Simulates one request: its tracker, its attempts and what its caller received.
struct RequestSimulation {
    tracker: RequestTracker,
    policy: TrackerPolicy,
    attempts: BTreeMap<AttemptId, SimulatedAttempt>,
    grant_requests: u32,
    forwarded: Vec<(AttemptId, u64)>,
    outcome: Option<FinalOutcome>,
    next_attempt: AttemptId,
}

impl RequestSimulation {
    fn new(policy: TrackerPolicy, budget: &mut RetryBudget) -> Self {
        let (tracker, actions) = RequestTracker::start(policy, budget);
        let mut simulation = Self {
            tracker,
            policy,
            attempts: BTreeMap::new(),
            grant_requests: 0,
            forwarded: Vec::new(),
            outcome: None,
            next_attempt: 1,
        };
        simulation.apply(actions, Duration::ZERO);
        simulation
    }

    fn feed(&mut self, event: RequestEvent, now: Duration, budget: &mut RetryBudget) {
        let actions = self.tracker.handle(event, now, 500, budget);
        self.apply(actions, now);
    }

    fn apply(&mut self, actions: Vec<RequestAction>, now: Duration) {
        for action in actions {
            assert!(
                self.outcome.is_none()
                    || matches!(
                        action,
                        RequestAction::DropArrival { .. } | RequestAction::EndAttempt { .. }
                    ),
                "{action:?} was emitted after the outcome"
            );
            match action {
                RequestAction::RequestGrant { delay, .. } => {
                    assert!(
                        now + delay < self.policy.deadline,
                        "a grant was requested for a time after the deadline"
                    );
                    self.grant_requests += 1;
                },
                RequestAction::ForwardChunk { attempt, index } => {
                    assert!(now < self.policy.deadline, "a chunk was forwarded after the deadline");
                    self.forwarded.push((attempt, index));
                },
                RequestAction::CancelAttempt { attempt, .. }
                | RequestAction::EndAttempt { attempt, .. } => {
                    let simulated = self.attempts.get_mut(&attempt).unwrap();
                    assert!(simulated.open, "the attempt was ended twice");
                    simulated.open = false;
                },
                RequestAction::ResumeFrom { attempt, index, .. } => {
                    let simulated = self.attempts.get_mut(&attempt).unwrap();
                    simulated.resumed = true;
                    simulated.head_received = false;
                    simulated.delivered = index;
                },
                RequestAction::Finish(outcome) => self.outcome = Some(outcome),
                RequestAction::Send { .. }
                | RequestAction::DropArrival { .. }
                | RequestAction::ReportCrash { .. } => {},
            }
        }
    }

    /// Performs one random step of the caller, the pool, an endpoint or a connection.
    fn step(
        &mut self,
        input: &mut Unstructured<'_>,
        now: Duration,
        budget: &mut RetryBudget,
    ) -> Result<()> {
        if input.ratio(1, 40)? {
            let event = input
                .choose(&[RequestEvent::CallerDisconnected, RequestEvent::ShutdownForced])?
                .clone();
            self.feed(event, now, budget);
            return Ok(());
        }
        if self.grant_requests > 0 && input.ratio(1, 2)? {
            self.grant_requests -= 1;
            return self.answer_grant_request(input, now, budget);
        }
        if self.attempts.is_empty() {
            return Ok(());
        }
        // Usually the newest attempt, sometimes one that has ended.
        let newest = self.next_attempt - 1;
        let attempt = if input.ratio(4, 5)? { newest } else { input.int_in_range(1..=newest)? };
        self.step_attempt(attempt, input, now, budget)
    }

    fn answer_grant_request(
        &mut self,
        input: &mut Unstructured<'_>,
        now: Duration,
        budget: &mut RetryBudget,
    ) -> Result<()> {
        if input.ratio(1, 20)? {
            let kind = CallerErrorKind::Overloaded;
            self.feed(RequestEvent::GrantRefused { kind, retry_after: None }, now, budget);
            return Ok(());
        }
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let chunks = input.int_in_range(1..=4)?;
        self.attempts
            .insert(attempt, SimulatedAttempt { open: true, chunks, ..Default::default() });
        let endpoint = Arc::from(format!("endpoint-{attempt}"));
        self.feed(RequestEvent::Granted { attempt, endpoint }, now, budget);
        Ok(())
    }

    fn step_attempt(
        &mut self,
        attempt: AttemptId,
        input: &mut Unstructured<'_>,
        now: Duration,
        budget: &mut RetryBudget,
    ) -> Result<()> {
        let simulated = &self.attempts[&attempt];
        if !simulated.sent {
            return self.step_unsent(attempt, input, now, budget);
        }
        let (head_received, started) = (simulated.head_received, simulated.started);
        match input.int_in_range(0..=9)? {
            0 => {
                let cause = *input.choose(&[LossCause::Connection, LossCause::EndpointCrash])?;
                self.attempts.get_mut(&attempt).unwrap().started |= input.ratio(1, 2)?;
                self.feed(RequestEvent::ConnectionLost { attempt, cause }, now, budget);
            },
            1 if !head_received && !started && !self.attempts[&attempt].resumed => {
                self.feed_head(attempt, Some(attempt), now, budget);
                let event = RequestEvent::RefusedByEndpoint { attempt, retry_after: None };
                self.feed(event, now, budget);
                self.attempts.get_mut(&attempt).unwrap().sent = false;
            },
            2 => {
                // The answer of another attempt is received on this connection.
                self.attempts.get_mut(&attempt).unwrap().started |= input.ratio(1, 2)?;
                if head_received || input.ratio(1, 2)? {
                    self.feed_head(attempt, Some(attempt + 1_000), now, budget);
                }
                let wrong_answer = input
                    .choose(&[
                        RequestEvent::RefusedByEndpoint { attempt, retry_after: None },
                        RequestEvent::ChunkReceived { attempt, index: 0 },
                        RequestEvent::AnswerCompleted { attempt },
                    ])?
                    .clone();
                self.feed(wrong_answer, now, budget);
            },
            3 if head_received => {
                self.feed(RequestEvent::EndpointFailed { attempt }, now, budget);
            },
            4 if self.attempts[&attempt].resumed && !head_received => {
                self.feed(RequestEvent::ResumeRefused { attempt }, now, budget);
            },
            5 if head_received => {
                // A duplicate chunk, or one after a gap.
                let index = input.int_in_range(0..=4)?;
                let is_duplicate_or_gap = self.attempts[&attempt].delivered != index;
                if is_duplicate_or_gap {
                    self.feed(RequestEvent::ChunkReceived { attempt, index }, now, budget);
                }
            },
            _ => self.advance(attempt, now, budget),
        }
        Ok(())
    }

    fn step_unsent(
        &mut self,
        attempt: AttemptId,
        input: &mut Unstructured<'_>,
        now: Duration,
        budget: &mut RetryBudget,
    ) -> Result<()> {
        if self.tracker.current().map(|(id, _)| id) != Some(attempt) {
            return Ok(());
        }
        match input.int_in_range(0..=5)? {
            0 => self.feed(RequestEvent::GrantExpired { attempt }, now, budget),
            1 => self.feed(RequestEvent::ConnectFailed { attempt }, now, budget),
            _ => {
                self.feed(RequestEvent::SendStarting { attempt }, now, budget);
                if self.outcome.is_none() {
                    self.attempts.get_mut(&attempt).unwrap().sent = true;
                }
            },
        }
        Ok(())
    }

    /// Advances the endpoint by one step: it starts the attempt, then sends the head, the chunks
    /// and the end of its answer.
    fn advance(&mut self, attempt: AttemptId, now: Duration, budget: &mut RetryBudget) {
        let simulated = self.attempts.get_mut(&attempt).unwrap();
        if !simulated.started {
            simulated.started = true;
            return;
        }
        if !simulated.head_received {
            return self.feed_head(attempt, Some(attempt), now, budget);
        }
        let (index, chunks) = (simulated.delivered, simulated.chunks);
        if index >= chunks {
            return self.feed(RequestEvent::AnswerCompleted { attempt }, now, budget);
        }
        simulated.delivered += 1;
        self.feed(RequestEvent::ChunkReceived { attempt, index }, now, budget);
    }

    fn feed_head(
        &mut self,
        attempt: AttemptId,
        echoed: Option<AttemptId>,
        now: Duration,
        budget: &mut RetryBudget,
    ) {
        self.attempts.get_mut(&attempt).unwrap().head_received = echoed == Some(attempt);
        self.feed(RequestEvent::HeadReceived { attempt, echoed, boot: None }, now, budget);
    }

    /// Checks the invariants: at most one run of a non-repeatable request, no gap and no mixture of
    /// answers, a correct outcome and no leaked grant.
    fn check(&self) {
        let runs = self.attempts.values().filter(|simulated| simulated.started).count();
        if !self.policy.repeatable {
            assert!(runs <= 1, "a non-repeatable request ran {runs} times");
        }
        for (position, (attempt, index)) in self.forwarded.iter().enumerate() {
            assert_eq!(*index, position as u64, "the answer has a gap or a repeated chunk");
            assert_eq!(*attempt, self.forwarded[0].0, "chunks of two attempts were mixed");
        }
        let Some(outcome) = &self.outcome else {
            return;
        };
        match outcome.executed {
            ExecutionCertainty::No => {
                assert_eq!(runs, 0, "reported as not executed, but ran {runs} times")
            },
            ExecutionCertainty::Yes => assert!(runs >= 1, "reported as executed, but did not run"),
            ExecutionCertainty::Unknown => {},
        }
        assert!(self.attempts.values().all(|simulated| !simulated.open), "a grant was leaked");
        if outcome.error.is_none() {
            let attempt = self.forwarded[0].0;
            let chunks = self.attempts[&attempt].chunks;
            assert_eq!(
                self.forwarded.len() as u64,
                chunks,
                "an incomplete answer was reported as complete"
            );
        }
    }
}

#[test]
fn every_request_ends_once_with_a_correct_outcome() {
    seed_list::run_seeds(|input| {
        let mut budget = RetryBudget::new();
        let mut requests = 0_u32;
        let mut attempts = 0_u32;
        while !input.is_empty() {
            let policy = TrackerPolicy {
                repeatable: input.ratio(1, 2)?,
                resumable: input.ratio(1, 2)?,
                deadline: Duration::from_millis(input.int_in_range(1..=2_000)?),
            };
            let mut now = Duration::ZERO;
            let mut simulation = RequestSimulation::new(policy, &mut budget);
            while simulation.outcome.is_none() && now < policy.deadline && !input.is_empty() {
                now += Duration::from_millis(input.int_in_range(0..=30)?);
                simulation.step(input, now, &mut budget)?;
                simulation.check();
            }
            simulation.feed(RequestEvent::DeadlinePassed, now, &mut budget);
            for _ in 0..4 {
                simulation.step(input, now, &mut budget)?;
                simulation.check();
            }
            requests += 1;
            attempts += simulation.outcome.as_ref().unwrap().attempts;
            assert!(attempts * 10 <= requests * 12, "{attempts} attempts for {requests} requests");
        }
        Ok(())
    });
}

/// Returns a tracker whose first attempt is sent, and a budget that allows retries.
fn sent_tracker(repeatable: bool, resumable: bool) -> (RequestTracker, RetryBudget) {
    let mut budget = RetryBudget::new();
    for _ in 0..100 {
        budget.record_request();
    }
    let policy = TrackerPolicy { repeatable, resumable, deadline: Duration::from_secs(10) };
    let (mut tracker, _) = RequestTracker::start(policy, &mut budget);
    for event in [
        RequestEvent::Granted { attempt: 1, endpoint: "e".into() },
        RequestEvent::SendStarting { attempt: 1 },
    ] {
        tracker.handle(event, Duration::ZERO, 0, &mut budget);
    }
    (tracker, budget)
}

#[test]
fn refusal_of_another_attempt_does_not_prove_that_the_request_did_not_run() {
    let (mut tracker, mut budget) = sent_tracker(false, false);
    let head = RequestEvent::HeadReceived { attempt: 1, echoed: Some(2), boot: None };
    let actions = tracker.handle(head, Duration::ZERO, 0, &mut budget);
    assert_eq!(actions[0], RequestAction::DropArrival { reason: DropReason::WrongAttempt });
    let Some(RequestAction::Finish(outcome)) = actions.last() else {
        panic!("the request did not finish: {actions:?}");
    };
    assert_eq!(outcome.executed, ExecutionCertainty::Unknown);
}

#[test]
fn retry_after_a_crash_runs_exclusively_on_another_endpoint() {
    let (mut tracker, mut budget) = sent_tracker(true, true);
    let event = RequestEvent::ConnectionLost { attempt: 1, cause: LossCause::EndpointCrash };
    let actions = tracker.handle(event, Duration::ZERO, 0, &mut budget);
    let grant_request = RequestAction::RequestGrant {
        delay: Duration::ZERO,
        excluding: vec!["e".into()],
        exclusive: true,
    };
    assert_eq!(actions.last(), Some(&grant_request));
}

#[test]
fn request_that_crashed_two_endpoints_is_not_sent_to_a_third() {
    let (mut tracker, mut budget) = sent_tracker(true, false);
    let mut actions = Vec::new();
    for attempt in 1..=2 {
        for event in [
            RequestEvent::Granted { attempt, endpoint: format!("e{attempt}").into() },
            RequestEvent::SendStarting { attempt },
            RequestEvent::ConnectionLost { attempt, cause: LossCause::EndpointCrash },
        ] {
            actions = tracker.handle(event, Duration::ZERO, 0, &mut budget);
        }
    }
    assert!(matches!(actions.last(), Some(RequestAction::Finish(_))), "{actions:?}");
}

#[test]
fn answer_resumed_after_a_restart_is_not_joined_to_the_first_part() {
    let (mut tracker, mut budget) = sent_tracker(true, true);
    let mut last = Vec::new();
    for event in [
        RequestEvent::HeadReceived { attempt: 1, echoed: Some(1), boot: Some("a".into()) },
        RequestEvent::ChunkReceived { attempt: 1, index: 0 },
        RequestEvent::ConnectionLost { attempt: 1, cause: LossCause::Connection },
        RequestEvent::HeadReceived { attempt: 1, echoed: Some(1), boot: Some("b".into()) },
    ] {
        last = tracker.handle(event, Duration::ZERO, 0, &mut budget);
    }
    let Some(RequestAction::Finish(outcome)) = last.last() else {
        panic!("the request did not finish: {last:?}");
    };
    let kind = outcome.error.as_ref().map(CallerError::kind);
    assert_eq!(kind, Some(CallerErrorKind::StreamBroken));
    assert!(outcome.partly_forwarded);
}

#[test]
fn error_codes_are_distinct_and_messages_name_the_next_step() {
    let codes: std::collections::BTreeSet<_> =
        CallerErrorKind::ALL.iter().map(|kind| kind.code()).collect();
    assert_eq!(codes.len(), CallerErrorKind::ALL.len());
    let error = CallerError::not_run(CallerErrorKind::RequestTooLarge)
        .given("9 MiB")
        .allowed("at most 8 MiB")
        .retry_after(Duration::from_millis(1));
    assert_eq!(error.retry_after_seconds(), Some(1));
    assert_eq!(
        error.to_string(),
        "the request is larger than allowed: given 9 MiB, allowed at most 8 MiB; executed: no. \
         Send a smaller request."
    );
}
