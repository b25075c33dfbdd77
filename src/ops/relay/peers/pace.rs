//! Tells the peers at which pace engines deliver the events of streams.
//!
//! Guards against an instance that sees few streams and sends one of them to a slow engine.

use std::net::SocketAddr;

use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::pace_reports::PACE_INTERVAL;
use sequoiastream_core::relay::pace_reports::PaceMessage;
use sequoiastream_core::relay::pace_reports::PaceRecord;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Datagram;

use crate::ops::relay::peers::Fleet;
use crate::ops::relay::peers::LOAD_INTERVAL;
use crate::util::clock;

/// Number of turns of messages about load between two messages about paces.
const PACE_TURNS: u32 = (PACE_INTERVAL.as_millis() / LOAD_INTERVAL.as_millis()) as u32;

impl Fleet {
    /// Sends the next peers the records that are due in this turn.
    pub(super) fn send_pace(&self, now: Time, turn: u32) {
        if !turn.is_multiple_of(PACE_TURNS) {
            return;
        }
        let peers = self.pace_peers();
        let due = self.0.shared.traffic().load.event_pace.take_due(now, peers.len());
        let Some(due) = due else {
            return;
        };
        for peer in peers.iter().cycle().skip(due.first).take(due.peers) {
            self.send(*peer, Datagram::Pace(due.message.clone()));
        }
    }

    /// The peers that are told of paces: all, in a large fleet those of the same zone.
    fn pace_peers(&self) -> Vec<SocketAddr> {
        let [same_zone, other_zones] = &*self.0.heard.borrow();
        match self.is_large() {
            true => same_zone.clone(),
            false => [same_zone.as_slice(), other_zones.as_slice()].concat(),
        }
    }

    /// Handles the records of a peer. Those of engines that are not known here are ignored.
    pub(super) fn on_pace(&self, message: &PaceMessage) {
        let now = clock::now();
        let view = self.0.shared.view.load();
        let known = message.records.iter().filter_map(|record| {
            let key = view.hashes().get(&record.engine)?;
            Some((*key, *record))
        });
        let known: Vec<(EngineKey, PaceRecord)> = known.collect();
        let mut traffic = self.0.shared.traffic();
        traffic
            .load
            .event_pace
            .on_peer_records(now, &message.service, &known);
    }
}
