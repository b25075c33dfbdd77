//! Tells a few peers which version of the engines began each stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sequoiastream_core::relay::streams;
use sequoiastream_core::relay::streams::StreamRecord;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Datagram;

use crate::ops::relay::peers::Fleet;
use crate::util::clock;

/// Maximum number of records in a datagram; each has at most 23 bytes.
const MAX_RECORDS: usize = 48;

impl Fleet {
    /// Sends the records of streams that began since the last call, each to its homes.
    pub(super) fn send_streams(&self, now: Time) {
        let records = self.0.shared.traffic().streams.take_unsent(now);
        if records.is_empty() {
            return;
        }
        let peers = self.0.shared.view.load().tunnel_peers.clone();
        let mut due: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        for record in records {
            for home in streams::homes(peers.iter().map(|peer| peer.address), record.stream) {
                due.entry(home).or_default().push(record);
            }
        }
        for (peer, records) in due {
            for records in records.chunks(MAX_RECORDS) {
                self.send(peer, Datagram::Streams(records.to_vec()));
            }
        }
    }

    /// Handles the records of a peer.
    pub(super) fn on_streams(&self, records: Vec<StreamRecord>) {
        let now = clock::now();
        let mut traffic = self.0.shared.traffic();
        for record in records {
            traffic.streams.on_record(now, record);
        }
    }
}
