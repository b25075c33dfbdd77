//! Records of orders whose engines are gone.

use std::time::Duration;

use sequoiastream_core::relay::records::AbsentEngines;
use sequoiastream_core::time::Time;

const RETENTION: Duration = Duration::from_secs(600);

fn due(absent: &mut AbsentEngines, seconds: u64, known: &[&str]) -> Vec<String> {
    let now = Time::from_millis(seconds * 1_000);
    let recorded = ["e1", "e2", "e3"].into_iter();
    absent.due(now, RETENTION, recorded, |id| known.contains(&id))
}

/// Guards against a second order to an engine that is running: its entry expires for a while. Only the record of an
/// engine that was absent all the time is removed.
#[test]
fn due_only_without_pause() {
    let mut absent = AbsentEngines::new();
    assert!(due(&mut absent, 0, &["e3"]).is_empty());
    assert!(due(&mut absent, 300, &["e2", "e3"]).is_empty());
    assert!(due(&mut absent, 599, &["e3"]).is_empty());
    assert_eq!(due(&mut absent, 600, &["e3"]), ["e1"]);
    assert_eq!(due(&mut absent, 1_199, &["e3"]), ["e1", "e2"]);
    assert!(due(&mut absent, 1_200, &["e1", "e2", "e3"]).is_empty());
}
