//! The open connections of callers, and what they make this instance hold. `core::relay::connections` decides which ones go
//! when memory or descriptors run short; this carries it out.

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

/// Fraction of the memory of the machine that bodies and long answers may take.
const HELD_PART: f64 = 0.25;

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
    /// Notified when something is given back.
    freed: Arc<Notify>,
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

/// How a connection is told that it goes.
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
            memory: (memory * HELD_PART) as usize,
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
            freed: Arc::default(),
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
        let (open, held) = (state.table.open(), state.table.held());
        for eviction in evicted {
            let (key, how) = match eviction {
                Eviction::Refuse(key) => (key, "refused"),
                Eviction::Close(key) => (key, "closed"),
            };
            self.shared.metrics.count_eviction(how);
            log_event!(info, log_event::CALLER_EVICTED, how, open, held);
            if let Some(signals) = state.signals.get(&key) {
                signals.give_up(eviction);
            }
        }
    }
}

impl Signals {
    fn give_up(&self, eviction: Eviction) {
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

    /// Memory for this caller, none yet.
    pub(super) fn memory(&self) -> CallerMemory {
        CallerMemory {
            caller: self.clone(),
            bytes: 0,
        }
    }

    /// Takes memory for a long answer once there is room for it.
    ///
    /// Guards against many long answers that are read from engines at the same time.
    pub(super) async fn room_for(&self, bytes: usize) -> CallerMemory {
        loop {
            let freed = self.connections.freed.notified();
            if let Some(memory) = self.take_room(bytes) {
                return memory;
            }
            // Those that hold memory may be given up once they are slow.
            let _ = timeout(ROOM_INTERVAL, freed).await;
        }
    }

    /// Takes memory if there is room for it, and has others go for it.
    fn take_room(&self, bytes: usize) -> Option<CallerMemory> {
        let mut state = self.connections.state();
        let evicted = state.table.make_room(clock::now(), self.key, bytes);
        self.connections.evict(&state, evicted);
        let has_room = state.table.has_room(bytes);
        drop(state);
        has_room.then(|| {
            let mut memory = self.memory();
            memory.take(bytes);
            memory
        })
    }
}

/// Memory that is held for a caller, until this is dropped.
#[derive(Debug)]
pub struct CallerMemory {
    caller: Caller,
    bytes: usize,
}

impl CallerMemory {
    /// Takes more.
    pub(super) fn take(&mut self, bytes: usize) {
        self.bytes += bytes;
        let connections = &self.caller.connections;
        let mut state = connections.state();
        let evicted = state.table.take(clock::now(), self.caller.key, bytes);
        connections.evict(&state, evicted);
    }

    /// The caller that it is held for.
    pub(super) fn caller(&self) -> &Caller {
        &self.caller
    }
}

impl Drop for CallerMemory {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let connections = &self.caller.connections;
        connections.state().table.give_back(self.caller.key, self.bytes);
        connections.freed.notify_waiters();
    }
}
