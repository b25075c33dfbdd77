//! Sum of the work that peers report.

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::TypeGenerator;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::load_tracker::Work;
use sequoiastream_core::relay::peer_work::PeerWork;
use sequoiastream_core::time::Time;

/// Maximum age of a report that is counted.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Number of engines that are compared.
const ENGINES: u32 = 8;

/// A report of a peer; `pause` is the time since the message before it, in units of 5 ms.
#[derive(Debug, TypeGenerator)]
struct Message {
    pause: u8,
    peer: u8,
    work: Vec<(u8, u8, u16)>,
}

impl Message {
    fn work(&self) -> BTreeMap<EngineKey, Work> {
        let engines = self.work.iter().map(|(engine, requests, prefill)| {
            let work = Work {
                requests: u32::from(*requests),
                prefill: Duration::from_micros(u64::from(*prefill)),
            };
            (EngineKey(u32::from(*engine) % ENGINES), work)
        });
        engines.collect()
    }
}

/// Guards against idle engines that are taken for full, or full ones for idle, for good: peers report their work, fall
/// silent, end and return, and a sum that is updated from message to message loses or retains part of what was
/// reported.
#[test]
fn sum_as_reports_say() {
    bolero::check!().with_type::<Vec<Message>>().for_each(|messages| {
        let mut peer_work = PeerWork::default();
        let mut reports: BTreeMap<u8, (Time, BTreeMap<EngineKey, Work>)> = BTreeMap::new();
        let mut now = Time::from_millis(5_000);
        for message in messages {
            now = now + Duration::from_millis(u64::from(message.pause) * 5);
            let peer = message.peer % 5;
            peer_work.on_peer_report(now, &peer.to_string(), message.work());
            reports.insert(peer, (now, message.work()));
            for later in [0, 300, 1_000, 1_001] {
                let then = now + Duration::from_millis(later);
                for engine in (0..ENGINES).map(EngineKey) {
                    let recent = reports
                        .values()
                        .filter(|(at, _)| then.since(*at) <= MAX_REPORT_AGE);
                    let work = recent.filter_map(|(_, work)| work.get(&engine));
                    let sum = work.fold(Work::default(), |sum, work| sum.plus(*work));
                    assert_eq!(peer_work.work(then, engine), sum, "{engine:?} at {then:?}");
                }
            }
        }
    });
}
