//! Callers that send orders, and a log of the outcomes that were reported to them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Method;
use apricotknot_standin::fleet::FleetClient;
use apricotknot_standin::fleet::FleetHarness;

/// Outcome that was reported to a caller after it sent an order once, from best to worst.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum ReportedOutcome {
    /// The caller received the answer of the service, possibly replayed from the ledger.
    Answered,
    /// The order did not run.
    Refused,
    /// The order may have run, or no answer was received.
    Unknown,
}

/// Counts of all orders by their best outcome, and of violations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct OrderCounts {
    pub(crate) sent: usize,
    pub(crate) answered: usize,
    pub(crate) refused: usize,
    pub(crate) unknown: usize,
    pub(crate) executed: usize,
    pub(crate) executed_twice: usize,
    pub(crate) refused_but_executed: usize,
    pub(crate) wrong_answers: usize,
}

/// Holds the outcomes that were reported to callers, by idempotency key.
#[derive(Clone, Default)]
pub(crate) struct OrderLog {
    reported: Rc<RefCell<BTreeMap<String, Vec<ReportedOutcome>>>>,
    wrong_answers: Rc<RefCell<usize>>,
    error_codes: Rc<RefCell<BTreeMap<String, usize>>>,
}

impl OrderLog {
    /// Sends an order once and records the outcome that is reported to the caller.
    pub(crate) async fn send(
        &self,
        client: &FleetClient,
        node: SocketAddr,
        key: &str,
    ) -> ReportedOutcome {
        let headers = [
            ("authorization", "Bearer clerk-key"),
            ("idempotency-key", key),
            ("x-request-timeout-ms", "15000"),
        ];
        let body = format!("{{\"order\":\"{key}\"}}");
        let answer =
            client.call(Method::POST, node, "/booking/orders", &headers, body.clone()).await;
        let outcome = match &answer {
            Err(_) => ReportedOutcome::Unknown,
            Ok(answer) if answer.status == 200 => {
                let json = answer.json();
                if json["idempotency_key"] != key || json["body"] != body {
                    *self.wrong_answers.borrow_mut() += 1;
                }
                ReportedOutcome::Answered
            },
            Ok(answer) if answer.header("x-executed") == Some("no") => ReportedOutcome::Refused,
            Ok(_) => ReportedOutcome::Unknown,
        };
        if let Some(answer) = answer.ok().filter(|answer| answer.status != 200) {
            let code = answer.json()["error"]["code"].to_string();
            *self.error_codes.borrow_mut().entry(code).or_default() += 1;
        }
        self.reported.borrow_mut().entry(key.to_owned()).or_default().push(outcome);
        outcome
    }

    /// Sends `count` orders concurrently, spread over `nodes`.
    pub(crate) async fn send_all(
        &self,
        client: &FleetClient,
        nodes: &[SocketAddr],
        prefix: &str,
        count: usize,
    ) {
        let mut tasks = Vec::new();
        for number in 0..count {
            let (log, client) = (self.clone(), client.clone());
            let (node, key) = (nodes[number % nodes.len()], format!("{prefix}-{number}"));
            tasks.push(actix_rt::spawn(async move {
                log.send(&client, node, &key).await;
            }));
        }
        for task in tasks {
            task.await.unwrap();
        }
    }

    /// Compares the reported outcomes with the executions of the services, and prints the counts.
    pub(crate) async fn summarize(&self, name: &str, fleet: &FleetHarness) -> OrderCounts {
        let mut executions: BTreeMap<String, u64> = BTreeMap::new();
        for service in &fleet.plain {
            let report = fleet.client.get(service.address, "/standin/executions").await.unwrap();
            for (key, count) in report.json()["by_key"].as_object().unwrap() {
                *executions.entry(key.clone()).or_default() += count.as_u64().unwrap();
            }
        }
        let reported = self.reported.borrow();
        let mut counts =
            OrderCounts { wrong_answers: *self.wrong_answers.borrow(), ..Default::default() };
        counts.executed = executions.len();
        counts.executed_twice = executions.values().filter(|count| **count > 1).count();
        for (key, outcomes) in reported.iter() {
            counts.sent += 1;
            let best_outcome = outcomes.iter().min().unwrap();
            match best_outcome {
                ReportedOutcome::Answered => counts.answered += 1,
                _ if outcomes.contains(&ReportedOutcome::Unknown) => counts.unknown += 1,
                _ => {
                    counts.refused += 1;
                    counts.refused_but_executed += usize::from(executions.contains_key(key));
                },
            }
        }
        println!(
            "{name}: sent {} answered {} refused {} unknown {} executed {} executed twice {} \
             refused but executed {} wrong answers {}",
            counts.sent,
            counts.answered,
            counts.refused,
            counts.unknown,
            counts.executed,
            counts.executed_twice,
            counts.refused_but_executed,
            counts.wrong_answers
        );
        println!("{name}: error codes {:?}", self.error_codes.borrow());
        counts
    }
}
