//! A TCP relay in front of an engine that delays orders, to simulate a slow network between the holder and the engine.

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

/// Start of the request line of an order.
const ORDER: &[u8] = b"POST /v1/order";

/// A TCP relay in front of an engine. It forwards all traffic, but holds a set number of orders until they are
/// released. A held order is delivered even if its sender has exited in the meantime.
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
    /// Starts a relay in front of the engine at `to`, on the current thread.
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

    /// The address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds the next `count` orders.
    pub fn hold_next(&self, count: usize) {
        self.state.released.send_replace(false);
        self.state.remaining.send_replace(count);
    }

    /// Waits until `count` orders have been held in total.
    ///
    /// # Panics
    ///
    /// If the relay has stopped.
    pub async fn wait_for_held(&self, count: usize) {
        let mut held = self.state.held.subscribe();
        held.wait_for(|h| *h >= count).await.expect("the relay runs");
    }

    /// Releases the held orders.
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
    let remaining = *state.remaining.borrow();
    if remaining == 0 {
        return;
    }
    state.remaining.send_replace(remaining - 1);
    state.held.send_modify(|held| *held += 1);
    let mut released = state.released.subscribe();
    let _ = released.wait_for(|r| *r).await;
}
