//! Tells the peers which request limits engines reported to this instance.
//!
//! Guards against an instance that sends an engine more requests than it accepts until it gets an answer of its own.

use sequoiastream_core::relay::limit_report::PeerLimitReport;
use sequoiastream_core::relay::load_message::FANOUT;
use sequoiastream_core::relay::load_message::round_robin;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Datagram;

use crate::ops::relay::peers::Fleet;
use crate::ops::relay::shared::log_limit_change;
use crate::util::clock;

/// Maximum number of reports in a datagram; each has at most 37 bytes.
const MAX_REPORTS: usize = 32;

impl Fleet {
    /// Sends the reports that are due in this turn to the next peers.
    pub(super) fn send_limits(&self, now: Time, turn: u32) {
        let reports = self.0.shared.traffic().rate_limits.peer_reports(now, turn);
        if reports.is_empty() {
            return;
        }
        let limit_turn = self.0.limit_turn.get();
        self.0.limit_turn.set(limit_turn.wrapping_add(1));
        let peers = round_robin(&self.0.heard.borrow().concat(), limit_turn, FANOUT);
        for peer in peers {
            for reports in reports.chunks(MAX_REPORTS) {
                self.send(peer, Datagram::Limits(reports.to_vec()));
            }
        }
    }

    /// Handles the reports of a peer. They are kept also for engines that are not known here yet.
    pub(super) fn on_limits(&self, reports: &[PeerLimitReport]) {
        let now = clock::now();
        let view = self.0.shared.view.load();
        for report in reports {
            let key = view.hashes().get(&report.engine).copied();
            let change = self
                .0
                .shared
                .traffic()
                .rate_limits
                .on_peer_report(now, key, report);
            let id = key.and_then(|key| view.ids().get(&key));
            if let Some(change) = change {
                log_limit_change(id.map_or("unknown", String::as_str), change, "peer");
            }
        }
    }
}
