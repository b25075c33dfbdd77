//! The open connections of callers, and the memory that is reserved for them. `core::relay::connections` decides which ones are
//! evicted when memory or descriptors run short; this carries it out.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Waker;
use std::time::Duration;

use futures_util::task::AtomicWaker;
use rustix::process::Resource;
use rustix::process::getrlimit;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::connections::ConnectionKey;
use sequoiastream_core::relay::connections::ConnectionLimits;
use sequoiastream_core::relay::connections::ConnectionTable;
use sequoiastream_core::relay::connections::Eviction;
use sequoiastream_core::time::Time;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::log_event;
use crate::ops::relay::options::Options;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Fraction of the descriptors that callers' connections may take before they are closed after each answer. The rest is for
/// those on which an answer is awaited, and for connections to engines.
const KEPT_PART: f64 = 0.5;

/// Fraction of the descriptors that callers' connections may take at all.
const MAX_PART: f64 = 0.75;

/// Fraction of the memory of the machine that is reserved for bodies and long answers at most.
const RESERVED_PART: f64 = 0.25;

/// Fraction of the memory of the machine that the buffers of connections may take.
const BUFFER_PART: f64 = 0.25;

/// Memory of the buffers of a connection, in bytes.
const BUFFER_BYTES: f64 = 16.0 * 1_024.0;

/// Memory of the machine, in bytes, if the settings don't name it.
const DEFAULT_MEMORY: u64 = 256 << 20;

/// Time between two looks at whether there is room for a long answer.
const ROOM_INTERVAL: Duration = Duration::from_millis(100);

/// The connections of an instance's servers.
#[derive(Clone)]
pub(super) struct Connections {
    state: Arc<Mutex<State>>,
    /// Number beyond which connections are closed after an answer.
    max_kept: usize,
    shared: Arc<Shared>,
    /// Notified when memory is released.
    released: Arc<Notify>,
}

impl fmt::Debug for Connections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connections").finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    signals: BTreeMap<ConnectionKey, Arc<Signals>>,
}

/// How a connection is told that it is evicted.
#[derive(Debug, Default)]
struct Signals {
    is_refused: AtomicBool,
    refused: Notify,
    is_closed: AtomicBool,
    /// Wakes the task of the connection.
    task: AtomicWaker,
}

impl Connections {
    /// No connections, with the limits that follow from the settings.
    pub(super) fn new(options: &Options, shared: Arc<Shared>) -> Connections {
        let limits = [options.descriptors, getrlimit(Resource::Nofile).current];
        let descriptors = limits.into_iter().flatten().min();
        let part = |part: f64| descriptors.map_or(usize::MAX, |max| (max as f64 * part) as usize);
        let memory = options.memory.unwrap_or(DEFAULT_MEMORY) as f64;
        let limits = ConnectionLimits {
            memory: (memory * RESERVED_PART) as usize,
            connections: part(MAX_PART).min((memory * BUFFER_PART / BUFFER_BYTES) as usize),
        };
        let state = State {
            table: ConnectionTable::new(limits),
            signals: BTreeMap::new(),
        };
        Connections {
            state: Arc::new(Mutex::new(state)),
            max_kept: part(KEPT_PART).min(limits.connections),
            shared,
            released: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
    }

    /// Records a connection that was accepted.
    pub(super) fn accept(&self) -> Caller {
        let signals = Arc::new(Signals::default());
        let mut state = self.state();
        let (key, evicted) = state.table.on_accept(clock::now());
        state.signals.insert(key, signals.clone());
        self.evict(&state, evicted);
        drop(state);
        Caller {
            connections: self.clone(),
            key,
            signals,
        }
    }

    /// Whether so many are open that each is to be closed after its next answer.
    pub(super) fn are_many(&self) -> bool {
        self.state().table.open() > self.max_kept
    }

    fn evict<E>(&self, state: &State, evicted: E)
    where
        E: IntoIterator<Item = Eviction>,
    {
        let (open, reserved) = (state.table.open(), state.table.reserved());
        for eviction in evicted {
            let (key, how) = match eviction {
                Eviction::Refuse(key) => (key, "refused"),
                Eviction::Close(key) => (key, "closed"),
            };
            self.shared.metrics.count_eviction(how);
            log_event!(info, log_event::CALLER_EVICTED, how, open, reserved);
            if let Some(signals) = state.signals.get(&key) {
                signals.evict(eviction);
            }
        }
    }
}

impl Signals {
    fn evict(&self, eviction: Eviction) {
        match eviction {
            Eviction::Refuse(_) => {
                self.is_refused.store(true, Ordering::Relaxed);
                self.refused.notify_one();
            }
            Eviction::Close(_) => {
                self.is_closed.store(true, Ordering::Relaxed);
                self.task.wake();
            }
        }
    }
}

/// A caller's connection.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    connections: Connections,
    key: ConnectionKey,
    signals: Arc<Signals>,
}

impl Caller {
    /// Records that the body of a request begins to arrive.
    pub(super) fn on_body(&self) {
        self.update(ConnectionTable::on_body);
    }

    /// Records that a request is handled, of which nothing more is to arrive.
    pub(super) fn on_handle(&self) {
        self.update(ConnectionTable::on_handle);
    }

    /// Records that a long answer begins to leave.
    pub(super) fn on_answer(&self) {
        self.update(ConnectionTable::on_answer);
    }

    /// Records that the answer was made, and unless it is a long one, that it has left.
    pub(super) fn on_answered(&self) {
        self.update(ConnectionTable::on_answered);
    }

    /// Records that bytes of a body or a long answer were moved.
    pub(super) fn on_moved(&self, bytes: usize) {
        self.connections.state().table.on_moved(self.key, bytes);
    }

    /// Records that the connection was closed.
    pub(super) fn on_close(&self) {
        let mut state = self.connections.state();
        state.table.on_close(self.key);
        state.signals.remove(&self.key);
    }

    fn update<F>(&self, update: F)
    where
        F: FnOnce(&mut ConnectionTable, Time, ConnectionKey),
    {
        update(&mut self.connections.state().table, clock::now(), self.key);
    }

    /// Whether the body that arrives is to be refused.
    pub(super) fn is_refused(&self) -> bool {
        self.signals.is_refused.load(Ordering::Relaxed)
    }

    /// Waits until the body that arrives is to be refused.
    pub(super) async fn refused(&self) {
        self.signals.refused.notified().await;
    }

    /// Whether the connection is to be closed at once.
    pub(super) fn is_closed(&self) -> bool {
        self.signals.is_closed.load(Ordering::Relaxed)
    }

    /// Has the task of the connection woken when the connection is to be closed.
    pub(super) fn register(&self, task: &Waker) {
        self.signals.task.register(task);
    }

    /// A reservation for this caller, of no memory yet.
    pub(super) fn reservation(&self) -> Reservation {
        Reservation {
            caller: self.clone(),
            bytes: 0,
        }
    }

    /// Reserves memory for a long answer once there is room for it.
    ///
    /// Guards against many long answers that are read from engines at the same time.
    pub(super) async fn reserve(&self, bytes: usize) -> Reservation {
        loop {
            let released = self.connections.released.notified();
            if let Some(reservation) = self.try_reserve(bytes) {
                return reservation;
            }
            // Others may be evicted once they have been slow for long enough.
            let _ = timeout(ROOM_INTERVAL, released).await;
        }
    }

    /// Reserves memory if there is room for it, for which others may be evicted.
    fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut state = self.connections.state();
        let evicted = state.table.make_room(clock::now(), self.key, bytes);
        self.connections.evict(&state, evicted);
        let has_room = state.table.has_room(bytes);
        drop(state);
        has_room.then(|| {
            let mut reservation = self.reservation();
            reservation.grow(bytes);
            reservation
        })
    }
}

/// Memory that is reserved for a caller until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    caller: Caller,
    bytes: usize,
}

impl Reservation {
    /// Reserves more, for which others or this caller may be evicted.
    pub(super) fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        let connections = &self.caller.connections;
        let mut state = connections.state();
        let evicted = state.table.reserve(clock::now(), self.caller.key, bytes);
        connections.evict(&state, evicted);
    }

    /// The caller that it is reserved for.
    pub(super) fn caller(&self) -> &Caller {
        &self.caller
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let connections = &self.caller.connections;
        connections.state().table.release(self.caller.key, self.bytes);
        connections.released.notify_waiters();
    }
}
