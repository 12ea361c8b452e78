//! Shared access to the usage accounting of a node.

use std::cell::RefCell;
use std::rc::Rc;

use apricotknot_core::usage::UsageAccounting;

/// Shares the usage accounting between the tasks of the control thread; none keeps it borrowed while
/// it waits.
pub type UsageHandle = Rc<RefCell<UsageAccounting>>;
