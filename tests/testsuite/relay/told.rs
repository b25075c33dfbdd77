//! What peers said of their work.

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::TypeGenerator;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::load_tracker::Work;
use sequoiastream_core::relay::peer_work::PeerWork;
use sequoiastream_core::time::Time;

/// How long a report counts.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Engines that are compared.
const ENGINES: u32 = 8;

/// A message of a peer, so long after the one before.
#[derive(Debug, TypeGenerator)]
struct Message {
    pause: u8,
    peer: u8,
    work: Vec<(u8, u8, u16)>,
}

impl Message {
    fn work(&self) -> BTreeMap<EngineKey, Work> {
        let engines = self.work.iter().map(|(engine, requests, reading)| {
            let work = Work {
                requests: u32::from(*requests),
                prefill: Duration::from_micros(u64::from(*reading)),
            };
            (EngineKey(u32::from(*engine) % ENGINES), work)
        });
        engines.collect()
    }
}

/// Engines are taken for full that are idle, or the other way round, for good. Order: peers say what they have, fall silent,
/// end and come back. Cause: a sum that is kept from message to message loses or keeps a part of what was said.
#[test]
fn sum_as_reports_say() {
    bolero::check!().with_type::<Vec<Message>>().for_each(|messages| {
        let mut told = PeerWork::default();
        let mut reports: BTreeMap<u8, (Time, BTreeMap<EngineKey, Work>)> = BTreeMap::new();
        let mut now = Time::from_millis(5_000);
        for message in messages {
            now = now + Duration::from_millis(u64::from(message.pause) * 5);
            let peer = message.peer % 5;
            told.on_peer_report(now, &peer.to_string(), message.work());
            reports.insert(peer, (now, message.work()));
            for later in [0, 300, 1_000, 1_001] {
                let then = now + Duration::from_millis(later);
                for engine in (0..ENGINES).map(EngineKey) {
                    let recent = reports
                        .values()
                        .filter(|(at, _)| then.since(*at) <= MAX_REPORT_AGE);
                    let work = recent.filter_map(|(_, work)| work.get(&engine));
                    let sum = work.fold(Work::default(), |sum, work| sum.plus(*work));
                    assert_eq!(told.work(then, engine), sum, "{engine:?} at {then:?}");
                }
            }
        }
    });
}
