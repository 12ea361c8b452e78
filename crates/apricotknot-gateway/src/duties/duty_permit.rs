//! Permission to act as the holder of a duty.

use std::cell::Cell;
use std::rc::Rc;

use apricotknot_core::duty::DutyTerm;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;

use super::DutyCall;

/// Shows the tasks of one duty whether this node holds it; all clones show the same term.
///
/// A task asks for the [`DutyCall`] right before each call of the platform.
#[derive(Clone, Debug)]
pub struct DutyPermit {
    node: NodeId,
    term: Rc<Cell<Option<DutyTerm>>>,
}

impl DutyPermit {
    /// Creates the permit of a node that does not hold the duty.
    pub fn new(node: NodeId) -> Self {
        Self { node, term: Rc::default() }
    }

    /// Sets the term of this node, or that it holds the duty no longer.
    pub fn set_term(&self, term: Option<DutyTerm>) {
        self.term.set(term);
    }

    /// Ends the term with `fence`: the platform has seen a larger number.
    pub fn end_term(&self, fence: FencingNumber) {
        if self.term.get().is_some_and(|term| term.fence == fence) {
            self.term.set(None);
        }
    }
}

impl DutyPermit {
    /// Returns the term of this node if it may act at `now`.
    pub fn term(&self, now: MonotonicTime) -> Option<DutyTerm> {
        self.term.get().filter(|term| term.since <= now && now < term.until)
    }

    /// Returns the holder and fencing number of a call at `now`, or `None` if this node may make none.
    pub fn call(&self, now: MonotonicTime) -> Option<DutyCall> {
        let term = self.term(now)?;
        Some(DutyCall { holder: NodeId::clone(&self.node), fence: term.fence })
    }
}
