//! Tells the peers under which requests engines ended, also what other peers told this instance.

use sequoiastream_core::poison::suspects::Note;
use sequoiastream_core::relay::load_message::round_robin;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Datagram;

use crate::ops::relay::peers::Fleet;
use crate::util::clock;

/// Number of peers that get each message. Each passes on what is new to it, so the number who know grows fivefold with
/// each message, and the traffic of each instance stays the same in a large fleet.
const CRASH_FANOUT: usize = 4;

impl Fleet {
    /// Sends the notes that are due to the next peers.
    pub(super) fn send_crashes(&self, now: Time) {
        let notes = self.0.shared.traffic().suspects.notes(now);
        if notes.is_empty() {
            return;
        }
        let turn = self.0.crash_turn.get();
        self.0.crash_turn.set(turn.wrapping_add(1));
        for peer in round_robin(&self.0.heard.borrow().concat(), turn, CRASH_FANOUT) {
            self.send(peer, Datagram::Crashes(notes.clone()));
        }
    }

    /// Handles the notes of a peer.
    pub(super) fn on_crashes(&self, notes: Vec<Note>) {
        let now = clock::now();
        let mut traffic = self.0.shared.traffic();
        for note in notes {
            traffic.suspects.on_note(now, note);
        }
    }
}
