//! A request is stopped after it has crashed three engines. Then all instances are killed at the same moment, and its
//! requester, one that repeats at once, sends it again.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::deployment::Instance;
use crate::deployment::Settings;
use crate::deployment::block;
use crate::deployment::wait_for;
use crate::poison;
use crate::poison::BODY;
use crate::poison::CALLERS;
use crate::poison::ENGINES;
use crate::poison::OTHER_BODY;
use crate::poison::RETRY_INTERVAL;
use crate::poison::STABLE_WINDOW;
use crate::poison::Seen;
use crate::record::Record;
use crate::store::Store;

/// Tries before the kill.
const FIRST_TRIES: usize = 5;

/// How often the requester repeats at once, besides the first time: the sites' `retry_abuse` has x = 3.
const REPEATS: usize = 3;

/// How long killed instances are down.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::new());
    let block = block();
    let platform = format!("{block}.1");
    let (store, store_address) = Store::start(&platform)?;
    store.put("op/config", &poison::config("idempotent", 2));
    let seen = Arc::new(Seen::default());
    let is_over = Arc::new(AtomicBool::new(false));
    for number in 0..ENGINES {
        let (platform, store) = (platform.clone(), store.clone());
        let (seen, record, is_over) = (seen.clone(), record.clone(), is_over.clone());
        thread::spawn(move || poison::keep_engine(number, &platform, &store, &seen, &record, &is_over, true));
    }
    let mut instances = Vec::new();
    for (number, zone) in ["a", "b", "a", "b"].into_iter().enumerate() {
        let name = format!("edge-{zone}-{number}");
        let settings = Settings {
            name: &name,
            ip: &format!("{block}.{}", 10 + number),
            zone,
            store: store_address,
            api: None,
        };
        instances.push(Instance::start(temporary, &settings)?);
    }
    let fronts: Vec<SocketAddr> = instances.iter().map(|instance| instance.front).collect();
    wait_until_served(&fronts)?;
    let outcomes = Arc::new(Mutex::new(BTreeMap::<u16, u64>::new()));
    let callers = fronts.iter().enumerate().map(|(number, front)| {
        let (front, outcomes, is_over) = (*front, outcomes.clone(), is_over.clone());
        thread::spawn(move || poison::call_on(number, front, OTHER_BODY, &outcomes, &is_over))
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    let mut count = 0;
    let mut send = || {
        let at = count % fronts.len();
        count += 1;
        let status = poison::send(fronts[at], &format!("{:016x}", 0xbad_0000 + count), CALLERS[0].1, BODY);
        record.note(format!("t1 tries at instance {at}: status {status}"));
    };
    for _ in 0..FIRST_TRIES {
        send();
        thread::sleep(RETRY_INTERVAL);
    }
    if trouble {
        for instance in &mut instances {
            instance.kill()?;
        }
        record.note("all instances are killed".to_string());
        thread::sleep(DOWN_TIME);
        for instance in &mut instances {
            instance.start_again()?;
        }
        record.note("all instances are started again".to_string());
    }
    wait_until_served(&fronts)?;
    thread::sleep(STABLE_WINDOW + Duration::from_secs(2));
    for _ in 0..=REPEATS {
        send();
    }
    thread::sleep(RETRY_INTERVAL);
    send();
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let running = instances.iter_mut().all(Instance::is_running);
    drop(instances);
    let broken = poison::violations(&seen, true, &record);
    record.sum(format!("answers to t2 by status (0: no answer): {:?}", outcomes.lock().expect("the outcomes")));
    record.write(folder, &broken)?;
    match running {
        true => Ok(broken.is_empty()),
        false => Err(io::Error::other("an instance has ended by itself")),
    }
}

fn wait_until_served(fronts: &[SocketAddr]) -> io::Result<()> {
    let serves = |front: &SocketAddr| poison::send(*front, "0", CALLERS[1].1, OTHER_BODY) == 200;
    match wait_for(Duration::from_secs(20), || fronts.iter().all(serves)) {
        true => Ok(()),
        false => Err(io::Error::other("an instance does not serve")),
    }
}
