//! Events of one generation, which any number of readers can stream from any position.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use futures::Stream;
use futures::stream::unfold;
use tokio::sync::Notify;

/// Says whether the generation is in progress, and how it ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum LogState {
    /// The generation is in progress, and more events may follow.
    #[default]
    Open,
    /// The generation completed.
    Finished,
    /// The generation was cancelled.
    Cancelled,
}

/// Holds the events of one generation and the number of its readers.
#[derive(Default)]
pub(super) struct EventLog {
    events: RefCell<Vec<Bytes>>,
    text: RefCell<String>,
    state: Cell<LogState>,
    changed: Notify,
    readers: Cell<usize>,
    furthest_read: Cell<usize>,
}

impl EventLog {
    pub(super) fn push(&self, event: Bytes, text: &str) {
        self.events.borrow_mut().push(event);
        self.text.borrow_mut().push_str(text);
        self.changed.notify_waiters();
    }

    pub(super) fn close(&self, state: LogState) {
        self.state.set(state);
        self.changed.notify_waiters();
    }

    pub(super) fn attach(self: &Rc<Self>) -> LogReader {
        self.readers.set(self.readers.get() + 1);
        LogReader { log: Rc::clone(self) }
    }

    pub(super) fn state(&self) -> LogState {
        self.state.get()
    }

    pub(super) fn text(&self) -> String {
        self.text.borrow().clone()
    }

    pub(super) fn has_reader(&self) -> bool {
        self.readers.get() > 0
    }

    /// Returns the number of events that the most advanced reader has not read.
    pub(super) fn unread(&self) -> usize {
        self.events.borrow().len().saturating_sub(self.furthest_read.get())
    }

    fn event(&self, index: usize) -> Option<Bytes> {
        self.events.borrow().get(index).cloned()
    }
}

/// Counts as a reader of a log until it is dropped.
pub(super) struct LogReader {
    log: Rc<EventLog>,
}

impl Drop for LogReader {
    fn drop(&mut self) {
        self.log.readers.set(self.log.readers.get().saturating_sub(1));
    }
}

impl LogReader {
    /// Waits until the generation has completed or was cancelled.
    pub(super) async fn wait_closed(&self) -> LogState {
        while self.log.state() == LogState::Open {
            self.log.changed.notified().await;
        }
        self.log.state()
    }

    /// Streams the events from `index` on; the stream fails when the generation is cancelled.
    pub(super) fn stream(self, index: usize) -> impl Stream<Item = Result<Bytes, io::Error>> {
        unfold(Some((self, index)), |place| async move {
            let (reader, index) = place?;
            loop {
                if let Some(event) = reader.log.event(index) {
                    let furthest_read = reader.log.furthest_read.get().max(index + 1);
                    reader.log.furthest_read.set(furthest_read);
                    return Some((Ok(event), Some((reader, index + 1))));
                }
                match reader.log.state() {
                    LogState::Open => reader.log.changed.notified().await,
                    LogState::Finished => return None,
                    LogState::Cancelled => {
                        return Some((Err(io::Error::other("generation cancelled")), None));
                    },
                }
            }
        })
    }
}
