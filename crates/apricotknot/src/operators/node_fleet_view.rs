//! View of the fleet from one running node.

use std::sync::Arc;

use apricotknot_core::admission::DecisionOutcome;
use apricotknot_core::admission::DecisionRecord;
use apricotknot_core::admission::ShortageRecord;
use apricotknot_core::membership::CoverageReport;
use apricotknot_core::membership::MemberState;
use apricotknot_core::membership::MemberUpdate;
use apricotknot_core::objectives::BurnSnapshot;
use apricotknot_core::operators::ExplanationStep;
use apricotknot_core::operators::NodeStatus;
use apricotknot_core::operators::RequestExplanation;
use apricotknot_core::operators::StatusAnswer;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceSnapshot;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::RequestId;
use apricotknot_core::types::RevisionNumber;
use apricotknot_gateway::clock::millis;

use super::FleetView;
use crate::control::ControlCommand;
use crate::control::ControlHandle;
use crate::control::FleetStatus;
use crate::settings::NodeIdentity;
use crate::store::CallBudget;

/// Provides the view of a running node through its control thread.
#[derive(Clone, Debug)]
pub struct NodeFleetView {
    control: ControlHandle,
    identity: NodeIdentity,
    store_budget: Arc<CallBudget>,
}

impl NodeFleetView {
    /// Creates the view of the node `identity`.
    pub fn new(
        control: ControlHandle,
        identity: NodeIdentity,
        store_budget: Arc<CallBudget>,
    ) -> Self {
        Self { control, identity, store_budget }
    }
}

impl FleetView for NodeFleetView {
    fn snapshot(&self) -> Arc<ResourceSnapshot> {
        self.control.view().table().snapshot()
    }

    fn changes_after(&self, base: RevisionNumber) -> UpdateBatch {
        self.control.view().table().changes_after(base)
    }

    async fn wait_newer_than(&self, revision: RevisionNumber) {
        self.control.wait_newer_than(revision).await;
    }

    async fn status(&self) -> StatusAnswer {
        let view = self.control.view();
        let fleet = self.control.status();
        let own = NodeStatus {
            node: self.identity.name.clone(),
            data_centre: self.identity.data_centre.clone(),
            revision: Some(view.revision()),
            reason: None,
        };
        let others = fleet.members.iter().filter(|member| member.node != own.node);
        let others = others.map(|member| member_status(member, fleet.coverage.as_ref()));
        let mut nodes: Vec<_> = others.filter(|status| is_live_or_listed(status, &fleet)).collect();
        nodes.push(own);
        nodes.sort_by(|one, other| one.node.cmp(&other.node));
        let unreadable = view.table().unreadable().map(|(key, _)| key.clone()).collect();
        StatusAnswer {
            revision: view.revision(),
            nodes,
            unreadable,
            dangling: view.table().snapshot().dangling_endpoints().cloned().collect(),
            store: self.store_budget.status(),
        }
    }

    async fn announce_duty(&self, key: &ResourceKey, duty: DutyState) -> bool {
        self.control.send(ControlCommand::Announce { key: key.clone(), duty });
        true
    }

    fn announced_duty(&self, key: &ResourceKey) -> Option<DutyState> {
        self.control.status().duty_notices.get(key).copied()
    }

    async fn burn(&self) -> BurnSnapshot {
        let stopped =
            BurnSnapshot { node: self.identity.name.clone(), uptime_ms: 0, series: Vec::new() };
        self.control.burn().await.unwrap_or(stopped)
    }

    async fn explain(&self, request: &str) -> Option<RequestExplanation> {
        let id = RequestId::from_str_radix(request, 16).ok()?;
        let record = self.control.explain(id).await?;
        Some(RequestExplanation {
            request: request.into(),
            node: self.identity.name.clone(),
            steps: explain_steps(&record),
        })
    }
}

/// Returns whether a node is live or listed in the coverage report; the status omits other nodes.
fn is_live_or_listed(status: &NodeStatus, fleet: &FleetStatus) -> bool {
    let member = fleet.members.iter().find(|member| member.node == status.node);
    let is_listed = fleet.coverage.as_ref().is_some_and(|report| report.lists(&status.node));
    is_listed || member.is_some_and(MemberUpdate::is_live)
}

/// Returns the status of another node, and why its revision may be unknown or out of date.
fn member_status(member: &MemberUpdate, coverage: Option<&CoverageReport>) -> NodeStatus {
    let covering = coverage.filter(|report| report.covers(&member.node));
    let reason = match member.state {
        MemberState::Left => Some("the node left or does not answer"),
        MemberState::Suspect => Some("the node does not answer probes"),
        MemberState::Alive if covering.is_none() => Some("the node has not reported it yet"),
        MemberState::Alive => None,
    };
    NodeStatus {
        node: member.node.clone(),
        data_centre: member.data_centre.clone(),
        revision: covering.filter(|_| member.is_live()).map(|report| report.revision),
        reason: reason.map(Arc::from),
    }
}

/// Returns the steps of the decision on a request, in the order of time.
fn explain_steps(record: &DecisionRecord) -> Vec<ExplanationStep> {
    let mut steps = vec![ExplanationStep {
        after_ms: 0,
        decision: "submitted".into(),
        reason: format!(
            "account {} asked for {} tokens of memory, length class {}",
            record.account, record.memory_tokens, record.class
        )
        .into(),
    }];
    if let Some(shortage) = &record.shortage {
        steps.push(ExplanationStep {
            after_ms: 0,
            decision: "queued".into(),
            reason: describe_shortage(shortage).into(),
        });
    }
    steps.push(outcome_step(record));
    steps
}

/// Returns the step that describes the outcome of the decision.
fn outcome_step(record: &DecisionRecord) -> ExplanationStep {
    let (decision, reason) = match &record.outcome {
        DecisionOutcome::Granted { attempt, endpoint, reason } => {
            (format!("granted endpoint {endpoint}"), format!("{reason:?}; attempt {attempt:032x}"))
        },
        DecisionOutcome::Refused(reason) => ("refused, not run".to_owned(), reason.to_string()),
        DecisionOutcome::Withdrawn => {
            ("withdrawn, not run".to_owned(), "the caller went away".to_owned())
        },
    };
    ExplanationStep {
        after_ms: millis(record.queued_for),
        decision: decision.into(),
        reason: reason.into(),
    }
}

/// Describes the resource that was short, and the accounts that held most of it.
fn describe_shortage(shortage: &ShortageRecord) -> String {
    let holders: Vec<String> = shortage
        .holders
        .iter()
        .map(|holder| {
            format!(
                "{} with {} tokens in {} requests",
                holder.account, holder.memory_tokens, holder.concurrent
            )
        })
        .collect();
    format!(
        "{} was short at {}: {} tokens needed, {} free; held by {}",
        shortage.resource.name(),
        shortage.endpoint,
        shortage.needed_tokens,
        shortage.free_tokens,
        if holders.is_empty() { "nobody".to_owned() } else { holders.join(", ") },
    )
}
