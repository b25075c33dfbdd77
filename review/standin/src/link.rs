//! A proxy between one machine and the platform: the machine's link, which can be cut.
//!
//! While it is cut, nothing passes in either direction. What a machine had sent on an open connection goes on as TCP has
//! it: the segment is sent again 0.2, 0.6, 1.4, 3.0, 6.2 ... s after the first time (RFC 6298: 200 ms at first, doubled
//! each time), and the first time that falls after the cut brings it through, also if the machine has closed the
//! connection meanwhile. If the machine has reset the connection, its bytes are lost (DEPLOY.md, Network). A connection
//! that is opened during the cut never comes about: what is sent on it is lost.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time until a segment is sent again for the first time.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// Sees what a machine sends, before it passes.
pub type Observer = Arc<dyn Fn(&Link, &[u8]) + Send + Sync>;

/// A cut of a link.
#[derive(Debug, Clone, Copy)]
pub struct Cut {
    pub begun: Instant,
    pub healed: Instant,
}

/// The link of a machine to the platform; cheap to clone.
#[derive(Clone)]
pub struct Link {
    /// Name of the machine.
    pub machine: String,
    cut: Arc<Mutex<Option<Cut>>>,
    /// When the machine last sent a renewal of a lease.
    pub renewed: Arc<Mutex<Option<Instant>>>,
}

impl Link {
    pub fn new(machine: &str) -> Link {
        Link {
            machine: machine.to_string(),
            cut: Arc::default(),
            renewed: Arc::default(),
        }
    }

    /// The only cut of this link, if there was one or is one now.
    pub fn cut(&self) -> Option<Cut> {
        *self.cut.lock().expect("the cut")
    }

    /// Cuts it from now on for `length`.
    pub fn begin_cut(&self, length: Duration) {
        let begun = Instant::now();
        let healed = begun + length;
        *self.cut.lock().expect("the cut") = Some(Cut { begun, healed });
    }

    /// When a segment that is sent at `sent` arrives.
    fn arrival(&self, sent: Instant) -> Instant {
        let Some(cut) = self.cut().filter(|cut| (cut.begun..cut.healed).contains(&sent)) else {
            return sent;
        };
        let (mut at, mut pause) = (sent, FIRST_RETRANSMISSION);
        while at < cut.healed {
            at += pause;
            pause *= 2;
        }
        at
    }

    /// Serves one of the platform's addresses to the machine. Returns the address for its settings.
    pub fn to(&self, ip: &str, target: SocketAddr, observe: Observer) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let address = listener.local_addr()?;
        let link = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (link, observe) = (link.clone(), observe.clone());
                thread::spawn(move || link.connection(stream, target, observe));
            }
        });
        Ok(address)
    }

    fn connection(&self, machine: TcpStream, target: SocketAddr, observe: Observer) {
        let now = Instant::now();
        if self.arrival(now) > now {
            return discard(machine);
        }
        let Ok(platform) = TcpStream::connect(target) else {
            return;
        };
        let _ = (machine.set_nodelay(true), platform.set_nodelay(true));
        let (Ok(from), Ok(to)) = (platform.try_clone(), machine.try_clone()) else {
            return;
        };
        let link = self.clone();
        let down = thread::spawn(move || link.pump(from, to, None));
        self.pump(machine, platform, Some(observe));
        let _ = down.join();
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, observe: Option<Observer>) {
        let mut chunk = [0; 64 * 1024];
        while let Ok(count @ 1..) = from.read(&mut chunk) {
            if let Some(observe) = &observe {
                observe(self, &chunk[..count]);
            }
            let now = Instant::now();
            let arrival = self.arrival(now);
            if arrival > now {
                thread::sleep(arrival - now);
                if is_reset(&from) {
                    return;
                }
            }
            if to.write_all(&chunk[..count]).is_err() {
                return;
            }
        }
        let now = Instant::now();
        thread::sleep(self.arrival(now).saturating_duration_since(now));
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Whether the other side has reset a connection.
fn is_reset(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    peeked.is_err_and(|error| error.kind() != ErrorKind::WouldBlock)
}

fn discard(mut stream: TcpStream) {
    let mut chunk = [0; 4 * 1024];
    while let Ok(1..) = stream.read(&mut chunk) {}
}
