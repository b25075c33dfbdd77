//! Addresses of the loopback range, each given out once on the whole machine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Mutex;

/// The addresses that this process gives out.
static ADDRESSES: Mutex<Addresses> = Mutex::new(Addresses::new());

/// Number of addresses that are given out in each subnet.
const ADDRESSES_PER_SUBNET: u8 = 250;

/// Last byte and port of the address that is bound as long as a subnet is in use.
const RESERVATION: (u8, u16) = (254, 7_000);

/// Number of subnets: 127.0 is left to everything else.
const SUBNETS: u32 = 255 * 256;

/// Gives out addresses of subnets that it has reserved.
struct Addresses {
    /// Listeners that reserve the subnets: no other process can bind their addresses.
    reservations: Vec<TcpListener>,
    /// Number of addresses given out in the last subnet.
    used: u8,
}

impl Addresses {
    const fn new() -> Addresses {
        Addresses {
            reservations: Vec::new(),
            used: ADDRESSES_PER_SUBNET,
        }
    }

    /// The next address; `start` is where the search for a free subnet begins.
    fn next(&mut self, start: u32, port: u16) -> SocketAddr {
        if self.used == ADDRESSES_PER_SUBNET {
            self.reservations.push(reserve_subnet(start));
            self.used = 0;
        }
        self.used += 1;
        let reservation = self.reservations.last().expect("a subnet is reserved");
        let mut address = reservation.local_addr().expect("it is bound");
        let SocketAddr::V4(v4) = &mut address else {
            unreachable!("only IPv4 addresses are reserved");
        };
        let [first, second, third, _] = v4.ip().octets();
        v4.set_ip([first, second, third, self.used].into());
        v4.set_port(port);
        address
    }
}

/// Reserves the first free subnet from `start` on.
fn reserve_subnet(start: u32) -> TcpListener {
    let (last, port) = RESERVATION;
    let mut listeners = (0..SUBNETS).filter_map(|offset| {
        let number = start.wrapping_add(offset) % SUBNETS + 256;
        let [.., second, third] = number.to_be_bytes();
        TcpListener::bind(SocketAddr::from(([127, second, third, last], port))).ok()
    });
    listeners.next().expect("a subnet is free")
}

/// An address of the loopback range that no other test uses, whichever process it runs in.
pub fn unique_address(port: u16) -> SocketAddr {
    let mut addresses = ADDRESSES.lock().expect("no thread panics with it");
    addresses.next(std::process::id(), port)
}

/// Guards against test processes with neighbouring ids that use the same addresses, so that servers fail to listen or a
/// test reaches the server of another one.
#[test]
fn unique_address_neighbours() {
    // Each process needs several subnets.
    const COUNT: usize = 600;
    let ids = [4_096, 4_097, 4_096 + 256, 4_096 + 65_536];
    let mut processes = ids.map(|id| (id, Addresses::new()));
    let mut all = BTreeSet::new();
    for (id, addresses) in &mut processes {
        all.extend((0..COUNT).map(|_| addresses.next(*id, 9)));
    }
    assert_eq!(all.len(), ids.len() * COUNT);
}
