//! Calls that the control thread makes on demand, one for all requests that wait for it.

use std::sync::OnceLock;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// One request for a call.
#[derive(Debug)]
struct Waiting<T> {
    subject: T,
    /// Answered with whether the call succeeded.
    done: oneshot::Sender<bool>,
}

/// How requests reach the task that makes the calls.
#[derive(Debug)]
pub struct SharedCall<T> {
    sender: OnceLock<mpsc::UnboundedSender<Waiting<T>>>,
}

impl<T> Default for SharedCall<T> {
    fn default() -> SharedCall<T> {
        SharedCall {
            sender: OnceLock::new(),
        }
    }
}

impl<T> SharedCall<T>
where
    T: Copy,
{
    /// Waits for a call that begins after this one was requested and succeeds, within `limit`. Returns whether there was one.
    pub async fn request(&self, subject: T, limit: Duration) -> bool {
        let Some(sender) = self.sender.get() else {
            return false;
        };
        let succeeded = async {
            loop {
                let (done, receiver) = oneshot::channel();
                if sender.send(Waiting { subject, done }).is_err() {
                    return false;
                }
                if receiver.await == Ok(true) {
                    return true;
                }
            }
        };
        tokio::time::timeout(limit, succeeded).await.unwrap_or(false)
    }

    /// The requests, for the task that makes the calls; `None` if there is one already.
    pub fn requests(&self) -> Option<Requests<T>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.sender.set(sender).ok()?;
        Some(Requests { receiver })
    }
}

/// The requests that the task receives.
#[derive(Debug)]
pub struct Requests<T> {
    receiver: mpsc::UnboundedReceiver<Waiting<T>>,
}

impl<T> Requests<T> {
    /// Waits for a request, and returns it with all others that wait; `None` once no more can come.
    pub async fn next(&mut self) -> Option<Batch<T>> {
        let mut waiting = vec![self.receiver.recv().await?];
        while let Ok(next) = self.receiver.try_recv() {
            waiting.push(next);
        }
        Some(Batch { waiting })
    }
}

/// The requests that one call answers.
#[derive(Debug)]
pub struct Batch<T> {
    waiting: Vec<Waiting<T>>,
}

impl<T> Batch<T> {
    /// What was requested.
    pub fn subjects(&self) -> impl Iterator<Item = &T> {
        self.waiting.iter().map(|waiting| &waiting.subject)
    }

    /// Answers all requests.
    pub fn answer(self, is_success: bool) {
        for waiting in self.waiting {
            // A caller that has gone meanwhile needs no answer.
            let _ = waiting.done.send(is_success);
        }
    }
}
