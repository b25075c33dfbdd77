//! The events of one engine's stream, which must follow those that were delivered before.
//!
//! Ids must rise. They may skip numbers, because one event may hold several tokens, so a missing event can't be recognised.

use sequoiastream_upstream::channel::Answer;
use sequoiastream_upstream::events::Event;
use sequoiastream_upstream::events::EventReader;

use crate::ops::relay::failure::AttemptFailure;

/// The stream that an engine answers with.
pub(super) struct EventStream {
    answer: Answer,
    reader: EventReader,
    /// Id of the last event, of this engine or of the one whose stream it continues.
    last_event: Option<u64>,
    /// Whether it may end without a further event.
    allow_empty: bool,
}

impl EventStream {
    /// The stream in `answer`, from its first event.
    pub(super) fn new(answer: Answer) -> EventStream {
        EventStream {
            answer,
            reader: EventReader::new(),
            last_event: None,
            allow_empty: false,
        }
    }

    /// Expects only events after `last_event`, if that is given.
    pub(super) fn after(self, last_event: Option<u64>) -> EventStream {
        EventStream { last_event, ..self }
    }

    /// Sets whether it may end without an event.
    pub(super) fn allow_empty(self, allow_empty: bool) -> EventStream {
        EventStream { allow_empty, ..self }
    }

    /// The answer that the stream is the body of.
    pub(super) fn answer(&self) -> &Answer {
        &self.answer
    }

    /// The answer that the stream is the body of.
    pub(super) fn into_answer(self) -> Answer {
        self.answer
    }

    /// Returns the next event, or `None` if the stream ended properly. Nothing is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] if the stream breaks, or an event doesn't follow the one before.
    pub(super) async fn next(&mut self) -> Result<Option<Event>, AttemptFailure> {
        loop {
            if let Some(event) = self.reader.next_event() {
                self.check_order(&event)?;
                self.allow_empty = true;
                return Ok(Some(event));
            }
            if self.reader.is_too_long() {
                return Err(broken("an event exceeds the size limit"));
            }
            match self.answer.next().await? {
                Some(data) => self.reader.push(&data),
                None => {
                    self.check_end()?;
                    return Ok(None);
                }
            }
        }
    }

    /// Guards against events that reach the caller twice: an engine that is to continue a stream starts it again.
    fn check_order(&mut self, event: &Event) -> Result<(), AttemptFailure> {
        let Some(id) = event.id else {
            return Ok(());
        };
        if self.last_event.is_some_and(|last| id <= last) {
            return Err(broken("an event came again"));
        }
        self.last_event = Some(id);
        Ok(())
    }

    /// Guards against an empty stream that looks complete: an engine stops before its first event and closes the connection.
    fn check_end(&self) -> Result<(), AttemptFailure> {
        match (self.reader.has_rest(), self.allow_empty) {
            (true, _) => Err(broken("the stream ended within an event")),
            (false, false) => Err(broken("the stream ended without an event")),
            (false, true) => Ok(()),
        }
    }
}

fn broken(reason: &str) -> AttemptFailure {
    AttemptFailure::broken(reason)
}
