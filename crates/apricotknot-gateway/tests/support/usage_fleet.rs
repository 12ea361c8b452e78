//! A small fleet that reports usage to a fake API, with a fake key-value service between its nodes.
//!
//! Calls are carried out at once, later, or never, and their answers can be lost.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::duty::DutyTerm;
use apricotknot_core::scaling::ScalingOrder;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::EraNumber;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::RevisionNumber;
use apricotknot_core::types::WindowNumber;
use apricotknot_core::usage::UsageAccounting;
use apricotknot_core::usage::UsageReport;
use apricotknot_core::usage::UsageWindows;
use apricotknot_gateway::duties::DutyAnswer;
use apricotknot_gateway::duties::DutyApi;
use apricotknot_gateway::duties::DutyApiError;
use apricotknot_gateway::duties::DutyCall;
use apricotknot_gateway::duties::DutyPermit;
use apricotknot_gateway::duties::UsageHandle;
use apricotknot_gateway::duties::UsageRecord;
use apricotknot_gateway::duties::UsageReporter;
use apricotknot_gateway::duties::UsageTools;
use apricotknot_gateway::store::ExpectedRevision;
use apricotknot_gateway::store::KeyRange;
use apricotknot_gateway::store::MetadataStore;
use apricotknot_gateway::store::StoreEntry;
use apricotknot_gateway::store::StoreError;
use apricotknot_gateway::store::StoreLease;
use apricotknot_gateway::store::SwapOutcome;
use apricotknot_gateway::store::SwapRequest;
use apricotknot_gateway::store::WatchBatch;
use apricotknot_gateway::store::WatchLimits;
use futures::FutureExt;
use prometheus_client::metrics::counter::Counter;
use slog::Discard;
use slog::Logger;
use slog::o;

pub(crate) const LENGTH: Duration = Duration::from_secs(5);
pub(crate) const DUE: Duration = Duration::from_secs(10);
/// Start of a window, which is also the start of the monotonic clock.
pub(crate) const START: Duration = Duration::from_secs(1_767_225_600);
/// Number of the window that begins at [`START`].
pub(crate) const FIRST: WindowNumber = 353_445_120;
/// End of each term; the test ends terms itself.
const TERM_END: Duration = Duration::from_secs(1_000_000);

/// What happens to the next write or report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum CallFault {
    /// It is carried out and answered.
    #[default]
    None,
    /// It is carried out, and the answer is lost.
    AnswerLost,
    /// It is carried out later, without an answer.
    Late,
    /// It is never carried out.
    Lost,
}

/// Content of the service, as it can be copied.
#[derive(Clone, Debug, Default)]
struct StoreContent {
    entries: BTreeMap<Arc<str>, (Vec<u8>, RevisionNumber)>,
    revision: RevisionNumber,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore {
    content: Rc<RefCell<StoreContent>>,
    copy: Rc<RefCell<StoreContent>>,
    pub(crate) era: Rc<Cell<EraNumber>>,
    late: Rc<RefCell<Vec<SwapRequest>>>,
    pub(crate) fault: Rc<Cell<CallFault>>,
    pub(crate) writes: Rc<Cell<usize>>,
}

impl FakeStore {
    /// Copies the content, so that the service can come back from it.
    pub(crate) fn copy(&self) {
        self.copy.replace(self.content.borrow().clone());
    }

    /// Brings the service back from the copy.
    pub(crate) fn restore(&self) {
        self.content.replace(self.copy.borrow().clone());
        self.era.set(self.era.get() + 1);
    }

    /// Carries out the writes that are late.
    pub(crate) fn flush(&self) {
        for request in self.late.take() {
            self.apply(&request);
        }
    }

    /// Removes the records, as if their lease had expired.
    pub(crate) fn expire(&self) {
        self.content.borrow_mut().entries.clear();
    }

    pub(crate) fn records(&self) -> Vec<UsageRecord> {
        let content = self.content.borrow();
        let values = content.entries.values();
        values.map(|(value, _)| serde_json::from_slice(value).expect("a record")).collect()
    }

    // The service does not know the era that a request was made for.
    fn apply(&self, request: &SwapRequest) -> SwapOutcome {
        assert_eq!(request.expected, ExpectedRevision::Absent, "reports are never replaced");
        self.writes.set(self.writes.get() + 1);
        let content = &mut *self.content.borrow_mut();
        if let Some((value, mod_revision)) = content.entries.get(&request.key) {
            let (key, value) = (request.key.clone(), value.clone());
            let current = Some(StoreEntry { key, value, mod_revision: *mod_revision });
            return SwapOutcome::Conflict { current, revision: content.revision };
        }
        content.revision += 1;
        let value = request.value.clone().expect("a value");
        content.entries.insert(request.key.clone(), (value, content.revision));
        SwapOutcome::Written { revision: content.revision }
    }

    fn failure() -> StoreError {
        StoreError::TimedOut { limit: Duration::from_secs(1) }
    }
}

impl MetadataStore for FakeStore {
    async fn swap(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError> {
        let fault = self.fault.take();
        match fault {
            CallFault::None | CallFault::AnswerLost => {
                let outcome = self.apply(request);
                let is_answered = fault == CallFault::None && request.era == Some(self.era.get());
                if is_answered { Ok(outcome) } else { Err(Self::failure()) }
            },
            CallFault::Late => {
                self.late.borrow_mut().push(request.clone());
                Err(Self::failure())
            },
            CallFault::Lost => Err(Self::failure()),
        }
    }

    async fn grant_lease(&self, _: Duration) -> Result<StoreLease, StoreError> {
        Ok(StoreLease { era: self.era.get(), id: 1 })
    }

    async fn renew_lease(&self, _: StoreLease) -> Result<bool, StoreError> {
        Ok(true)
    }

    async fn revoke_lease(&self, _: StoreLease) -> Result<(), StoreError> {
        Ok(())
    }

    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError> {
        let content = self.content.borrow();
        let found = content.entries.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries = found.map(|(key, (value, mod_revision))| StoreEntry {
            key: key.clone(),
            value: value.clone(),
            mod_revision: *mod_revision,
        });
        Ok(KeyRange { entries: entries.collect(), revision: content.revision, era: self.era.get() })
    }

    async fn changes(
        &self,
        _: &str,
        _: RevisionNumber,
        _: WatchLimits,
    ) -> Result<WatchBatch, StoreError> {
        Err(Self::failure())
    }
}

/// A call that the API has received.
type ReceivedCall = (FencingNumber, UsageReport);

#[derive(Clone, Debug, Default)]
pub(crate) struct FakeApi {
    largest_fence: Rc<Cell<FencingNumber>>,
    /// Different reports that were accepted, by window.
    pub(crate) accepted: Rc<RefCell<BTreeMap<WindowNumber, Vec<UsageReport>>>>,
    late: Rc<RefCell<Vec<ReceivedCall>>>,
    pub(crate) fault: Rc<Cell<CallFault>>,
    /// Status that answers the next call, if set.
    pub(crate) status: Rc<Cell<Option<u16>>>,
    /// Numbers of the calls that were refused.
    refused: Rc<RefCell<Vec<FencingNumber>>>,
    pub(crate) calls: Rc<Cell<usize>>,
}

impl FakeApi {
    pub(crate) fn flush(&self) {
        for (fence, report) in self.late.take() {
            self.apply(fence, &report);
        }
    }

    fn apply(&self, fence: FencingNumber, report: &UsageReport) -> DutyAnswer {
        if fence < self.largest_fence.get() {
            return DutyAnswer::Fenced;
        }
        self.largest_fence.set(fence);
        let mut accepted = self.accepted.borrow_mut();
        let reports = accepted.entry(report.window).or_default();
        if !reports.contains(report) {
            reports.push(report.clone());
        }
        DutyAnswer::Accepted
    }
}

impl DutyApi for FakeApi {
    async fn report_usage(
        &self,
        call: &DutyCall,
        report: &UsageReport,
    ) -> Result<DutyAnswer, DutyApiError> {
        self.calls.set(self.calls.get() + 1);
        assert!(!self.refused.borrow().contains(&call.fence), "the number was refused before");
        if let Some(status) = self.status.take() {
            let (address, reason) = (String::new(), String::new());
            return Err(DutyApiError::Rejected { address, status, reason });
        }
        let failure = DutyApiError::TimedOut { limit: Duration::from_secs(1) };
        match self.fault.take() {
            CallFault::None => {
                let answer = self.apply(call.fence, report);
                if answer == DutyAnswer::Fenced {
                    self.refused.borrow_mut().push(call.fence);
                }
                Ok(answer)
            },
            CallFault::AnswerLost => {
                self.apply(call.fence, report);
                Err(failure)
            },
            CallFault::Late => {
                self.late.borrow_mut().push((call.fence, report.clone()));
                Err(failure)
            },
            CallFault::Lost => Err(failure),
        }
    }

    async fn order_endpoints(
        &self,
        _: &DutyCall,
        _: &ScalingOrder,
    ) -> Result<DutyAnswer, DutyApiError> {
        Ok(DutyAnswer::Accepted)
    }
}

type Clock = Box<dyn Fn() -> MonotonicTime>;

pub(crate) struct ReportingNode {
    pub(crate) usage: UsageHandle,
    pub(crate) permit: DutyPermit,
    reporter: UsageReporter<FakeStore, FakeApi, Clock>,
}

pub(crate) struct ReportingFleet {
    pub(crate) store: FakeStore,
    pub(crate) api: FakeApi,
    pub(crate) nodes: Vec<ReportingNode>,
    pub(crate) now: Rc<Cell<Duration>>,
    fence: FencingNumber,
    incarnation: u64,
}

impl ReportingFleet {
    pub(crate) fn new(count: usize) -> Self {
        let mut fleet = Self {
            store: FakeStore::default(),
            api: FakeApi::default(),
            nodes: Vec::new(),
            now: Rc::new(Cell::new(Duration::ZERO)),
            fence: 0,
            incarnation: 0,
        };
        for index in 0..count {
            let node = fleet.started(index, count);
            fleet.nodes.push(node);
            fleet.watch(index);
        }
        fleet
    }

    fn started(&mut self, index: usize, count: usize) -> ReportingNode {
        self.incarnation += 1;
        let name = |index: usize| Arc::<str>::from(format!("node-{index}"));
        let mut accounting = UsageAccounting::new(
            name(index),
            self.incarnation,
            UsageWindows::new(LENGTH),
            DUE,
            START + self.now.get(),
            self.now.get(),
        );
        accounting.set_nodes((0..count).map(name).collect());
        let usage = UsageHandle::new(RefCell::new(accounting));
        let permit = DutyPermit::new(name(index));
        let now = Rc::clone(&self.now);
        let reporter = UsageReporter::new(UsageTools {
            accounting: usage.clone(),
            permit: permit.clone(),
            api: self.api.clone(),
            store: self.store.clone(),
            clock: Box::new(move || now.get()) as Clock,
            reports: Counter::default(),
            logger: Logger::root(Discard, o!()),
        });
        ReportingNode { usage, permit, reporter }
    }

    /// Kills a node and starts it again, without anything that it knew.
    pub(crate) fn restart(&mut self, index: usize) {
        self.nodes[index] = self.started(index, self.nodes.len());
    }

    /// Makes a node the holder of the duty, under a larger fencing number than before.
    pub(crate) fn appoint(&mut self, index: usize) {
        self.fence += 1;
        let since = self.now.get();
        let term = DutyTerm { fence: self.fence, since, until: TERM_END };
        self.nodes[index].permit.set_term(Some(term));
    }

    pub(crate) fn advance(&self, length: Duration) {
        self.now.set(self.now.get() + length);
        for node in &self.nodes {
            node.usage.borrow_mut().tick(START + self.now.get(), self.now.get());
        }
    }

    pub(crate) fn count(&self, index: usize, account: &str) {
        self.nodes[index]
            .usage
            .borrow_mut()
            .record_began(&AccountId::from(account), self.now.get());
    }

    /// Sends the counts of a node to all others for which `receives` holds.
    pub(crate) fn exchange(&self, index: usize, receives: impl Fn(usize) -> bool) {
        let sent = self.nodes[index].usage.borrow_mut().take_due_counts(self.now.get());
        for (other, node) in self.nodes.iter().enumerate() {
            if other != index && receives(other) {
                let mut usage = node.usage.borrow_mut();
                sent.iter().for_each(|counts| usage.merge(counts, self.now.get()));
            }
        }
    }

    /// Makes a node read the records, as its feed does.
    pub(crate) fn watch(&self, index: usize) {
        let mut usage = self.nodes[index].usage.borrow_mut();
        usage.observe_era(self.store.era.get(), self.now.get());
        for record in self.store.records() {
            // What differs from a known report is ignored.
            let _ = usage.record_report(record.report, record.era);
        }
    }

    /// Runs one step of the reporter of a node.
    pub(crate) fn step(&mut self, index: usize) {
        let step = self.nodes[index].reporter.step().now_or_never();
        step.expect("nothing waits for long here");
    }

    /// Plays time in which all nodes exchange counts and read the records.
    pub(crate) fn run(&mut self, length: Duration) {
        let end = self.now.get() + length;
        while self.now.get() < end {
            self.advance(Duration::from_millis(100));
            for index in 0..self.nodes.len() {
                self.exchange(index, |_| true);
                self.watch(index);
                self.step(index);
            }
        }
    }

    /// Returns the counts that were accepted for a window.
    pub(crate) fn accepted(&self, window: WindowNumber) -> Vec<Vec<(AccountId, u64)>> {
        let accepted = self.api.accepted.borrow();
        let reports = accepted.get(&window).into_iter().flatten();
        reports.map(|report| report.counts.clone().into_iter().collect()).collect()
    }
}
