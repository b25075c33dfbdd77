//! Proxy between an instance and a peer that alters or replays frames, or cuts connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

use crate::peer_tunnel::listen;

/// Length of the nonce that each side sends first, in bytes.
const NONCE_LEN: usize = 16;

/// What happens to the frames of one direction. Frames are numbered from 1.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    None,
    /// A bit of this frame is flipped.
    Alter(usize),
    /// This frame is sent twice.
    Replay(usize),
}

/// Proxy to a peer.
pub struct Proxy {
    /// Address that takes the place of the peer's.
    pub address: SocketAddr,
    /// Number of connections accepted.
    pub accepted: Rc<Cell<usize>>,
    cut: Rc<Notify>,
}

impl Proxy {
    /// Starts a proxy that changes frames sent `up` to the peer and `down` from it.
    pub async fn start(peer: SocketAddr, up: Change, down: Change) -> Proxy {
        let (listener, address) = listen().await;
        let accepted = Rc::new(Cell::new(0));
        let cut = Rc::new(Notify::new());
        let proxy = Proxy {
            address,
            accepted: accepted.clone(),
            cut: cut.clone(),
        };
        actix_web::rt::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                accepted.set(accepted.get() + 1);
                let far = TcpStream::connect(peer).await.expect("the peer listens");
                far.set_zero_linger().expect("an option");
                let cut = cut.clone();
                actix_web::rt::spawn(async move {
                    tokio::select! {
                        () = forward_both(near, far, up, down) => {}
                        () = cut.notified() => {}
                    }
                });
            }
        });
        proxy
    }

    /// Closes a connection: with a reset towards the peer, as an instance that stops does, and in an orderly way towards
    /// the instance that opened it.
    pub fn cut(&self) {
        self.cut.notify_one();
    }
}

async fn forward_both(near: TcpStream, far: TcpStream, up: Change, down: Change) {
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    tokio::join!(
        forward(near_reader, far_writer, up),
        forward(far_reader, near_writer, down),
    );
}

/// Forwards the nonce and then frames until either side ends.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, change: Change) {
    let mut nonce = [0; NONCE_LEN];
    if from.read_exact(&mut nonce).await.is_err() || to.write_all(&nonce).await.is_err() {
        return;
    }
    for number in 1.. {
        let Ok(length) = from.read_u32().await else {
            return;
        };
        let mut frame = length.to_be_bytes().to_vec();
        frame.resize(frame.len() + length as usize, 0);
        if from.read_exact(&mut frame[4..]).await.is_err() {
            return;
        }
        match change {
            Change::Alter(altered) if altered == number => frame[6] ^= 1,
            Change::Replay(replayed) if replayed == number => frame = [frame.clone(), frame].concat(),
            _ => {}
        }
        if to.write_all(&frame).await.is_err() {
            return;
        }
    }
}
