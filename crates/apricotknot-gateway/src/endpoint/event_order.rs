//! Order of the events of a stream, which one endpoint begins and others may continue.

/// Remembers the ids of the events that were forwarded, and tells which one may follow.
///
/// Ids increase, by one or by more. An endpoint sends its events in order, so within one attempt any
/// larger id follows. Where another attempt continues the stream, a larger gap than the stream has had
/// would be a missing event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventOrder {
    last_id: Option<u64>,
    /// Largest difference between the ids of two events that one attempt sent one after the other.
    largest_step: Option<u64>,
}

/// Where an event stands in its attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventPosition {
    /// It is the first one of an attempt that continues what another one has begun.
    Continues,
    /// It is the first one of an attempt that begins the answer; its caller may have read events of an
    /// earlier answer.
    Begins,
    /// It follows another one of its attempt.
    Follows,
}

impl EventOrder {
    /// Creates the order of a stream whose caller has read the events up to `last_id`, if any.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, largest_step: None }
    }

    /// Returns the id of the last event that was forwarded, or that the caller had read.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an event with the given id, if it has one, may be forwarded next.
    pub fn allows(&self, id: Option<u64>, position: EventPosition) -> bool {
        let Some(last_id) = self.last_id else {
            return true;
        };
        let Some(id) = id else {
            // Nobody knows what an event without an id would continue.
            return position != EventPosition::Continues;
        };
        let step = id.checked_sub(last_id).filter(|step| *step > 0);
        match position {
            EventPosition::Follows => step.is_some(),
            EventPosition::Begins | EventPosition::Continues => {
                step.is_some_and(|step| self.largest_step.is_none_or(|largest| step <= largest))
            },
        }
    }

    /// Records that an event was forwarded.
    pub fn record(&mut self, id: Option<u64>, position: EventPosition) {
        let Some(id) = id else {
            return;
        };
        let step = self.last_id.and_then(|last_id| id.checked_sub(last_id));
        if position == EventPosition::Follows {
            self.largest_step = self.largest_step.max(step);
        }
        self.last_id = Some(id);
    }
}
