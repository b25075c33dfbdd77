//! A relay before an engine that keeps orders back: the network between a holder and an engine.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// How the first line of an order begins.
const ORDER: &[u8] = b"POST /v1/order";

/// A relay before an engine. It passes everything on, but keeps back as many orders as it was told to, until
/// it is told to let them go. An order that is kept back arrives even if its sender has ended by then.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    remaining: watch::Sender<usize>,
    held: watch::Sender<usize>,
    released: watch::Sender<bool>,
}

impl Relay {
    /// Starts a relay before the engine at `to`, on the current thread.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub async fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let state = Rc::new(State {
            remaining: watch::Sender::new(0),
            held: watch::Sender::new(0),
            released: watch::Sender::new(false),
        });
        let shared = state.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(relay(stream, to, shared.clone()));
            }
        });
        Relay { address, state }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Keeps back the next `count` orders.
    pub fn hold_next(&self, count: usize) {
        self.state.released.send_replace(false);
        self.state.remaining.send_replace(count);
    }

    /// Waits until this many orders in all have been kept back.
    ///
    /// # Panics
    ///
    /// If the relay has ended.
    pub async fn wait_for_held(&self, count: usize) {
        let mut kept = self.state.held.subscribe();
        kept.wait_for(|k| *k >= count).await.expect("the relay runs");
    }

    /// Lets the orders go that were kept back.
    pub fn release_held(&self) {
        self.state.released.send_replace(true);
    }
}

async fn relay(stream: TcpStream, to: SocketAddr, state: Rc<State>) {
    let Ok(engine) = TcpStream::connect(to).await else {
        return;
    };
    let (from_caller, to_caller) = stream.into_split();
    let (from_engine, to_engine) = engine.into_split();
    spawn_local(forward(from_engine, to_caller, None));
    forward(from_caller, to_engine, Some(state)).await;
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, state: Option<Rc<State>>) {
    let mut buffer = [0; 64 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if let Some(state) = &state
            && buffer[..length].starts_with(ORDER)
        {
            hold(state).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn hold(state: &State) {
    let keep = *state.remaining.borrow();
    if keep == 0 {
        return;
    }
    state.remaining.send_replace(keep - 1);
    state.held.send_modify(|kept| *kept += 1);
    let mut open = state.released.subscribe();
    let _ = open.wait_for(|open| *open).await;
}
