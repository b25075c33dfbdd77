//! Authenticated datagrams over UDP.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;

use sequoiastream_core::name::Name;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use uuid::Uuid;

use crate::error::PeerError;
use crate::message::Datagram;
use crate::seal::ClusterKey;
use crate::seal::ReplayWindow;

/// Maximum datagram, in bytes: fits an ordinary network without fragmentation.
pub const MAX_DATAGRAM: usize = 1400;

#[derive(Debug, Serialize, Deserialize)]
struct Frame {
    sender: Name,
    incarnation: Uuid,
    counter: u64,
    body: Datagram,
}

/// Socket that sends and receives datagrams; for use on a single thread.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
    key: ClusterKey,
    sender: Name,
    incarnation: Uuid,
    counter: Cell<u64>,
    window: RefCell<ReplayWindow>,
}

impl DatagramSocket {
    /// Binds to `address`. `incarnation` must be a UUIDv7 generated at each start of the process.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        key: ClusterKey,
        sender: Name,
        incarnation: Uuid,
    ) -> std::io::Result<DatagramSocket> {
        let socket = UdpSocket::bind(address).await?;
        Ok(DatagramSocket::new(socket, key, sender, incarnation))
    }

    /// Uses a bound socket. `incarnation` must be a UUIDv7 generated at each start of the process.
    pub fn new(socket: UdpSocket, key: ClusterKey, sender: Name, incarnation: Uuid) -> DatagramSocket {
        DatagramSocket {
            socket,
            key,
            sender,
            incarnation,
            counter: Cell::new(0),
            window: RefCell::new(ReplayWindow::new()),
        }
    }

    /// Returns the local address of the socket.
    ///
    /// # Errors
    ///
    /// If the operating system can't provide the address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends `body` and returns the number of bytes sent.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the datagram was definitely not sent.
    pub async fn send(&self, to: SocketAddr, body: Datagram) -> Result<usize, PeerError> {
        let counter = self.counter.get() + 1;
        self.counter.set(counter);
        let frame = Frame {
            sender: self.sender.clone(),
            incarnation: self.incarnation,
            counter,
            body,
        };
        let sealed = self.key.seal(postcard::to_allocvec(&frame)?);
        if sealed.len() > MAX_DATAGRAM {
            return Err(PeerError::TooLong(sealed.len()));
        }
        let sent = self.socket.send_to(&sealed, to).await;
        sent.map_err(|e| PeerError::Connect(e.to_string()))
    }

    /// Receives the next datagram and its sender.
    ///
    /// # Errors
    ///
    /// [`PeerError`] for a datagram that is forged, replayed or malformed; the socket can still receive.
    pub async fn receive(&self) -> Result<(Name, Datagram), PeerError> {
        let mut buffer = [0; MAX_DATAGRAM];
        let received = self.socket.recv_from(&mut buffer).await;
        let (count, _) = received.map_err(|e| PeerError::Broken(e.to_string()))?;
        let frame: Frame = postcard::from_bytes(self.key.open(&buffer[..count])?)?;
        let mut window = self.window.borrow_mut();
        window.accept(&frame.sender, frame.incarnation, frame.counter)?;
        Ok((frame.sender, frame.body))
    }
}
