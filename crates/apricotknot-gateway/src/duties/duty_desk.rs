//! One duty at one node: its holder, its permit, and what is said about them.

use std::cell::RefCell;
use std::rc::Rc;

use apricotknot_core::duty::DutyAction;
use apricotknot_core::duty::DutyContents;
use apricotknot_core::duty::DutyHolder;
use apricotknot_core::duty::DutyKind;
use apricotknot_core::duty::DutyNotice;
use apricotknot_core::fleet::NodePosition;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use super::DutyAnswer;
use super::DutyApiError;
use super::DutyMetrics;
use super::DutyPermit;
use super::DutyStatus;
use super::duty_store::DutyStore;
use crate::clock::BootClock;
use crate::clock::millis;
use crate::store::MetadataStore;

/// Position of a node that does not compete.
const ALONE: NodePosition = NodePosition { index: 0, count: 1 };

/// Holds the state of one duty; all clones share it.
#[derive(Clone, Debug)]
pub(super) struct DutyDesk {
    kind: DutyKind,
    holder: Rc<RefCell<DutyHolder>>,
    permit: DutyPermit,
    metrics: DutyMetrics,
    logger: Logger,
}

impl DutyDesk {
    pub(super) fn new(
        kind: DutyKind,
        holder: DutyHolder,
        permit: DutyPermit,
        metrics: DutyMetrics,
        logger: Logger,
    ) -> Self {
        Self { kind, holder: Rc::new(RefCell::new(holder)), permit, metrics, logger }
    }

    /// Records what the key-value service holds for the duty.
    pub(super) fn observe(&self, contents: DutyContents, is_change: bool, now: MonotonicTime) {
        self.change(|holder| match is_change {
            true => holder.observe_change(contents, now),
            false => holder.observe(contents, now),
        });
    }

    /// Records that the key-value service answered in `era`.
    pub(super) fn observe_era(&self, era: u64, now: MonotonicTime) {
        self.change(|holder| holder.observe_era(era, now));
    }

    /// Gives the duty up, as the node stops.
    pub(super) fn withdraw(&self, now: MonotonicTime) {
        self.change(|holder| holder.withdraw(now));
    }

    /// Records the end of a call of the platform under `fence`.
    pub(super) fn record_answer(
        &self,
        fence: FencingNumber,
        answer: &Result<DutyAnswer, DutyApiError>,
        now: MonotonicTime,
    ) {
        if let Ok(DutyAnswer::Fenced) = answer {
            self.metrics.refusals(self.kind).inc();
            self.change(|holder| holder.record_fenced(fence, now));
        }
        // A refusal shows that the platform can be reached.
        let is_unanswered =
            matches!(answer, Err(DutyApiError::Broken { .. } | DutyApiError::TimedOut { .. }));
        if is_unanswered {
            self.metrics.failed_calls(self.kind).inc();
        }
        self.change(|holder| holder.record_platform(!is_unanswered, now));
    }

    /// Returns the call to make next; `position` is that of this node among the candidates.
    pub(super) fn next_action(
        &self,
        position: impl FnOnce() -> NodePosition,
        now: MonotonicTime,
    ) -> Option<DutyAction> {
        let mut action = None;
        self.change(|holder| action = holder.next_action(position(), now));
        action
    }

    /// Makes the calls that arrive at `actions`, one after the other.
    pub(super) async fn run<S: MetadataStore>(
        self,
        store: S,
        mut actions: mpsc::UnboundedReceiver<DutyAction>,
        clock: BootClock,
    ) {
        let store = DutyStore::new(store, self.kind);
        while let Some(action) = actions.recv().await {
            self.make(&store, action, clock).await;
            // A granted lease is used at once; candidates wait for their turn.
            if !self.holder.borrow().is_candidate()
                && let Some(next) = self.next_action(|| ALONE, clock.now())
            {
                self.make(&store, next, clock).await;
            }
        }
    }

    /// Makes one call, and tells the holder how it ended.
    async fn make<S: MetadataStore>(
        &self,
        store: &DutyStore<S>,
        action: DutyAction,
        clock: BootClock,
    ) {
        let (outcome, error) = store.carry_out(action).await;
        if let Some(error) = error {
            warn!(
                self.logger, "duty: call of the key-value service failed; going on without it";
                "duty" => self.kind.name(), "error" => %error
            );
        }
        self.change(|holder| holder.complete(outcome, clock.now()));
    }

    /// Changes the holder, and publishes its term and its notices.
    fn change(&self, change: impl FnOnce(&mut DutyHolder)) {
        let mut holder = self.holder.borrow_mut();
        change(&mut holder);
        let term = holder.term();
        self.permit.set_term(term);
        self.metrics.set_held(self.kind, term.is_some());
        for notice in holder.take_notices() {
            self.log(&notice);
        }
    }

    fn log(&self, notice: &DutyNotice) {
        let kind = self.kind.name();
        match notice {
            DutyNotice::Taken { fence, acts_in } => {
                self.metrics.terms(self.kind).inc();
                info!(
                    self.logger, "duty: taken; acting once the former holder is over";
                    "duty" => kind, "fence" => fence, "acts_in_ms" => millis(*acts_in)
                );
            },
            DutyNotice::Resumed { fence, pause } => warn!(
                self.logger, "duty: lease renewed late; acting again";
                "duty" => kind, "fence" => fence, "pause_ms" => millis(*pause)
            ),
            DutyNotice::Ended { fence, end } => info!(
                self.logger, "duty: term over; acting no more";
                "duty" => kind, "fence" => fence, "cause" => end.name()
            ),
        }
    }
}

impl DutyDesk {
    /// Returns the duty.
    pub(super) fn kind(&self) -> DutyKind {
        self.kind
    }

    /// Returns the node that holds the duty, as far as this one knows.
    pub(super) fn holder(&self) -> Option<NodeId> {
        let holder = self.holder.borrow();
        holder.known_holder().map(|(record, _)| NodeId::clone(&record.holder))
    }

    /// Returns what this node knows about the duty.
    pub(super) fn status(&self, now: MonotonicTime) -> DutyStatus {
        let holder = self.holder.borrow();
        let known = holder.known_holder();
        DutyStatus {
            duty: self.kind.name(),
            holder: known.map(|(record, _)| record.holder.clone()),
            fence: known.map(|(_, fence)| fence),
            is_released: known.is_some_and(|(record, _)| record.is_released),
            acts_here: self.permit.term(now).is_some(),
            held_here_ms: self.permit.term(now).map(|term| millis(now.saturating_sub(term.since))),
        }
    }
}
