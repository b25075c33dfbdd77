//! Tells the peers the use by workspaces of services whose capacity is short.

use std::cell::Cell;
use std::time::Duration;

use sequoiastream_core::relay::load_message::round_robin;
use sequoiastream_core::relay::workspace_use::WorkspaceUse;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Datagram;

use crate::ops::relay::peers::Fleet;
use crate::util::clock;

/// Time between two messages.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of peers that get each message. A message has up to 400 bytes with its headers, so that an instance sends
/// less than the 3 KB per second that control may cost.
const SHARE_FANOUT: usize = 3;

/// When the next message is due, and which peers get it.
#[derive(Debug)]
pub(super) struct ShareSchedule {
    due: Cell<Time>,
    turn: Cell<u32>,
}

impl ShareSchedule {
    /// Creates a schedule that begins with a random peer: otherwise, all instances would send to the same peers.
    pub(super) fn new() -> ShareSchedule {
        ShareSchedule {
            due: Cell::new(Time::ZERO),
            turn: Cell::new(rand::random()),
        }
    }
}

impl Fleet {
    /// Sends the use to the next peers if a message is due and capacity is short. In a large fleet, only peers of the
    /// same zone get it.
    pub(super) fn send_workspace_use(&self, now: Time) {
        let schedule = &self.0.share_schedule;
        if now < schedule.due.get() {
            return;
        }
        let peers = match self.is_large() {
            true => self.0.heard.borrow()[0].clone(),
            false => self.0.heard.borrow().concat(),
        };
        // All peers are told of a service before the next service follows.
        let turn = schedule.turn.get();
        let round = turn as usize / peers.len().div_ceil(SHARE_FANOUT).max(1);
        let round = u32::try_from(round).unwrap_or_default();
        let Some(message) = self.0.shared.traffic().shares.message(now, round) else {
            return;
        };
        schedule.due.set(now + MESSAGE_INTERVAL);
        schedule.turn.set(turn.wrapping_add(1));
        for peer in round_robin(&peers, turn, SHARE_FANOUT) {
            self.send(peer, Datagram::WorkspaceUse(message.clone()));
        }
    }

    /// Handles the use that a peer reports.
    pub(super) fn on_workspace_use(&self, name: &str, message: WorkspaceUse) {
        let mut traffic = self.0.shared.traffic();
        traffic.shares.on_message(clock::now(), name, message);
    }
}
