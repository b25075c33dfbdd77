//! Measures the bytes of heartbeats at several fleet sizes, the cost of propagating a change to all instances by
//! heartbeats alone, and the loss of availability from the rules for a partitioned group. Uses only the state machines
//! of the core crate, without sockets or processes.
//!
//! `cargo run --example membership_cost`

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::config::Version;
use sequoiastream_core::membership::Action;
use sequoiastream_core::membership::Event;
use sequoiastream_core::membership::InstanceInfo;
use sequoiastream_core::membership::Limits;
use sequoiastream_core::membership::Listing;
use sequoiastream_core::membership::LocalInstance;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::MemberTable;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;

/// Bytes of a datagram besides the heartbeat: sender's name, incarnation, counter and tag; UDP and IPv4 headers.
const FRAME_BYTES: usize = 16 + 16 + 8 + 3 + 28;

/// Seconds simulated before the measurement, so that every instance has received the tables of the others.
const WARM_UP_SECONDS: u64 = 60;

/// Duration of the measurement, in simulated seconds.
const MEASURED_SECONDS: u64 = 60;

fn address(index: usize, port: u16) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], port))
}

fn name(text: String) -> eyre::Result<Name> {
    Ok(Name::new(&text)?)
}

fn instance_info(index: usize) -> eyre::Result<InstanceInfo> {
    Ok(InstanceInfo {
        incarnation: 1_796_000_000_000 + index as u64,
        number: 0,
        zone: name(format!("zone-{}", index % 12))?,
        address: address(index, 8080),
        peer_address: address(index, 8090),
        state: MemberState::Live,
        version: Version(1),
        silence: 0,
    })
}

fn listing(index: usize) -> eyre::Result<Listing> {
    let info = instance_info(index)?;
    Ok(Listing {
        name: name(format!("instance-{index}"))?,
        zone: info.zone,
        address: info.address,
        peer_address: info.peer_address,
        state: MemberState::Live,
    })
}

struct Fleet {
    members: Vec<MemberTable>,
    names: Vec<Name>,
    index: BTreeMap<SocketAddr, usize>,
    versions: Vec<u64>,
    sent: usize,
    largest: usize,
}

impl Fleet {
    fn new(count: usize) -> eyre::Result<Fleet> {
        let list = (0..count).map(listing).collect::<eyre::Result<Vec<_>>>()?;
        let mut fleet = Fleet {
            members: Vec::new(),
            names: list.iter().map(|l| l.name.clone()).collect(),
            index: (0..count).map(|i| (address(i, 8090), i)).collect(),
            versions: vec![1; count],
            sent: 0,
            largest: 0,
        };
        for index in 0..count {
            let local = LocalInstance {
                name: fleet.names[index].clone(),
                info: instance_info(index)?,
                seed: index as u64,
            };
            let mut members = MemberTable::new(local, Limits::default());
            members.on(Time::ZERO, Event::Listed(list.clone()));
            members.on(Time::ZERO, Event::InForce(Version(1)));
            fleet.members.push(members);
        }
        Ok(fleet)
    }

    /// Passes `event` to instance `from`, and delivers the messages that result without delay.
    fn on(&mut self, now: Time, from: usize, event: Event) -> eyre::Result<()> {
        let mut queue = vec![(from, event)];
        while let Some((at, event)) = queue.pop() {
            for action in self.members[at].on(now, event) {
                match action {
                    Action::Send(to, beat) => {
                        let bytes = postcard::to_allocvec(&beat)?.len() + FRAME_BYTES;
                        self.sent += bytes;
                        self.largest = self.largest.max(bytes);
                        if let Some(to) = self.index.get(&to) {
                            queue.push((*to, Event::Heartbeat(self.names[at].clone(), beat)));
                        }
                    }
                    Action::PeerAhead(_, version) if version.0 > self.versions[at] => {
                        self.versions[at] = version.0;
                        queue.push((at, Event::InForce(version)));
                    }
                    Action::PeerAhead(..) | Action::Publish | Action::Resumed => {}
                }
            }
        }
        Ok(())
    }

    /// Simulates one second: each instance has contact with the key-value service and sends its heartbeat.
    fn second(&mut self, second: u64) -> eyre::Result<()> {
        let now = Time::from_millis(second * 1_000);
        for index in 0..self.members.len() {
            self.on(now, index, Event::KvContact(now))?;
            self.on(now, index, Event::Tick)?;
        }
        Ok(())
    }
}

fn measure_heartbeats(count: usize) -> eyre::Result<()> {
    let mut fleet = Fleet::new(count)?;
    for second in 1..=WARM_UP_SECONDS {
        fleet.second(second)?;
    }
    (fleet.sent, fleet.largest) = (0, 0);
    for second in WARM_UP_SECONDS + 1..=WARM_UP_SECONDS + MEASURED_SECONDS {
        fleet.second(second)?;
    }
    let each = fleet.sent as f64 / count as f64 / MEASURED_SECONDS as f64;
    let now = Time::from_millis((WARM_UP_SECONDS + MEASURED_SECONDS) * 1_000);
    let heard = fleet.members[0]
        .roster(now)
        .peers
        .iter()
        .filter(|p| p.heard)
        .count();
    let largest = fleet.largest;
    fleet.sent = 0;
    fleet.versions[0] = 2;
    fleet.on(now, 0, Event::InForce(Version(2)))?;
    let at_once = fleet.versions.iter().filter(|v| **v == 2).count();
    println!(
        "{count:>4} instances: {each:>6.0} B/s sent and as many received; largest datagram {largest} B; {heard} of {} \
         peers heard; a change reaches {at_once} immediately by digests and fetches, with {} B of heartbeats in all",
        count - 1,
        fleet.sent
    );
    Ok(())
}

/// Estimates, for each rule, the share of time during outages of the key-value service in which an instance accepts no
/// new work.
///
/// Outages come once a week; their duration is exponentially distributed with a mean of ten minutes. Crashes come at
/// the rate of the design size, 6 a day among 350 instances. A crashed instance stays on the list if it crashed
/// during the outage, or before it within the lag of the list.
fn availability(count: usize, rng: &mut ChaCha8Rng) {
    const OUTAGES: usize = 20_000;
    const LAG: f64 = 30.0;
    let rate = 6.0 / 350.0 / 86_400.0 * count as f64;
    let stale = Limits::default().stale_after.as_secs_f64();
    let mut exponential = |mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
    let (mut total, mut strict, mut fail_closed) = (0.0, 0.0, 0.0);
    for _ in 0..OUTAGES {
        let length = exponential(600.0);
        // Time of the first crash that the list does not reflect yet, in seconds from the start of the outage.
        let crash = exponential(1.0 / rate) - LAG;
        let stop = crash.max(0.0).max(stale);
        total += length;
        strict += (length - stop).max(0.0);
        fail_closed += (length - stale).max(0.0);
    }
    let percent = |part: f64| 100.0 * part / total;
    println!(
        "{count:>4} instances: during outages, no new work for {:.2}% of the time (stop if a listed instance is silent), 0% \
         (keep serving), {:.1}% (stop whenever the service is unavailable)",
        percent(strict),
        percent(fail_closed)
    );
}

fn main() -> eyre::Result<()> {
    for count in [3, 8, 350] {
        measure_heartbeats(count)?;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for count in [8, 350] {
        availability(count, &mut rng);
    }
    Ok(())
}
