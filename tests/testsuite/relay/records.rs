//! Records of orders whose engines are gone.

use std::time::Duration;

use sequoiastream_core::relay::records::AbsentEngines;
use sequoiastream_core::time::Time;

const RETENTION: Duration = Duration::from_secs(600);

fn due(absences: &mut AbsentEngines, seconds: u64, known: &[&str]) -> Vec<String> {
    let now = Time::from_millis(seconds * 1_000);
    let recorded = ["e1", "e2", "e3"].into_iter();
    absences.due(now, RETENTION, recorded, |id| known.contains(&id))
}

/// An engine that lives gets a second order beside its first. Order: its entry lapses for a while. Only one that was gone
/// all the time is forgotten.
#[test]
fn due_only_without_pause() {
    let mut absences = AbsentEngines::new();
    assert!(due(&mut absences, 0, &["e3"]).is_empty());
    assert!(due(&mut absences, 300, &["e2", "e3"]).is_empty());
    assert!(due(&mut absences, 599, &["e3"]).is_empty());
    assert_eq!(due(&mut absences, 600, &["e3"]), ["e1"]);
    assert_eq!(due(&mut absences, 1_199, &["e3"]), ["e1", "e2"]);
    assert!(due(&mut absences, 1_200, &["e1", "e2", "e3"]).is_empty());
}
