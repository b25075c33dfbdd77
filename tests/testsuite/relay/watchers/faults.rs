//! Faults of a fleet that follows a store, and of the store.

use std::time::Duration;

use rand::RngExt;
use rand::seq::IteratorRandom;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::watchers::SyncState;

use super::world::Call;
use super::world::World;

impl World {
    /// Pauses these instances from now on.
    pub(super) fn pause(&mut self, indexes: &[usize], time: Duration) {
        let until = self.now + time;
        for index in indexes {
            self.instances[*index].paused = until;
            self.instances[*index].healthy_since = until;
        }
    }

    /// Has the store return from a copy that lacks up to twenty changes. Open watches stay silent or are answered from the
    /// restored store. The limit doesn't apply until a while later, as after a fault of every instance.
    pub(super) fn restore(&mut self) {
        let lost = self.random.random_range(1..=20).min(self.revision.number - 1);
        self.revision = Revision::new(self.revision.epoch + 1, self.revision.number - lost);
        self.changed
            .truncate(usize::try_from(self.revision.number).expect("a few"));
        self.restored = self.now;
        for instance in &mut self.instances {
            instance.healthy_since = instance.healthy_since.max(self.now);
            instance.silent |= self.random.random_bool(0.5);
        }
    }

    pub(super) fn inject_fault(&mut self) {
        let now = self.now;
        let length = Duration::from_millis(self.random.random_range(200..6_000));
        let size = self.instances.len();
        let zone = self.random.random_range(0..self.cut.len());
        let count = *[1, 1, 2, size.div_ceil(2), size]
            .iter()
            .choose(&mut self.random)
            .expect("some");
        let zonal = self.random.random_bool(0.3);
        let kind = self.random.random_range(0..8);
        if kind >= 6 {
            // The store refuses the calls of just those instances that watch, everywhere or in a zone that hears no
            // other zone.
            let zones = self.cut.len();
            self.cut[zone] = now + length;
            for index in (0..size.min(3 * zones)).filter(|index| kind == 6 || index % zones == zone) {
                let instance = &mut self.instances[index];
                instance.unreachable = instance.unreachable.max(now + length);
                instance.healthy_since = instance.healthy_since.max(now + length);
            }
            return;
        }
        if kind == 5 {
            // Cut off from the other zones but not from the store: a fault that doesn't exempt an instance from the
            // limit.
            self.cut[zone] = now + length;
            return;
        }
        let chosen = (0..size).filter(|index| !zonal || self.instances[*index].zone == zone);
        let chosen = chosen.sample(&mut self.random, count);
        for index in chosen {
            let instance = &mut self.instances[index];
            // Faults overlap: the later one may end first.
            let healthy_since = if kind == 4 { now } else { now + length };
            instance.healthy_since = instance.healthy_since.max(healthy_since);
            match kind {
                // Paused: resumes with its state, its calls and its messages.
                0 => instance.paused = instance.paused.max(now + length),
                // Killed and restarted.
                1 => {
                    instance.paused = instance.paused.max(now + length);
                    instance.state = SyncState::new(now.as_micros() << 10 | index as u64);
                    instance.call = Call::None;
                    instance.question = None;
                    instance.heard.fill(None);
                }
                // The store refuses its calls or doesn't answer.
                2 | 3 => instance.unreachable = instance.unreachable.max(now + length),
                // Its open connection to the store never gets an answer again; new connections work.
                _ => instance.silent = true,
            }
        }
    }
}
