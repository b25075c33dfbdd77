//! Arrivals at engines, as the retry budget counts them.

use sequoiastream_core::relay::arrivals::ArrivalKind;
use sequoiastream_core::relay::arrivals::Arrivals;

/// A step of a request, in the order in which the relay takes them.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The request is sent.
    Run,
    /// The request could not be sent.
    Unsent,
    /// A call for its prefill is accepted.
    Prefill,
    /// A call for its prefill is rejected.
    Rejected,
}

/// Takes the extra attempts that each step needs; returns their number and that of the extra arrivals.
fn take(steps: &[Step]) -> (u32, u32) {
    let mut arrivals = Arrivals::default();
    let mut taken = 0;
    let mut counts = Vec::new();
    for step in steps {
        let due = match step {
            Step::Run | Step::Unsent => arrivals.due_for_request(),
            Step::Prefill | Step::Rejected => arrivals.due_for_prefill(),
        };
        (0..due).for_each(|_| arrivals.on_taken());
        taken += due;
        let sent = arrivals.on_send();
        match step {
            Step::Run | Step::Rejected => counts.push(sent),
            Step::Unsent => arrivals.on_unsent(),
            Step::Prefill => counts.push(arrivals.on_prefilled().unwrap_or(sent)),
        }
    }
    let extras = counts.iter().filter(|kind| **kind == ArrivalKind::Extra);
    (taken, u32::try_from(extras.count()).expect("a small count"))
}

/// Guards against arrivals that no budget counts, such as the run of a request after an engine has rejected the call for
/// its prefill, and against attempts that are charged although nothing was sent.
#[test]
fn take_before_extra() {
    use Step::Prefill;
    use Step::Rejected;
    use Step::Run;
    use Step::Unsent;
    let cases: [(&[Step], u32); 10] = [
        (&[Run], 0),
        (&[Unsent, Run], 0),
        (&[Unsent, Run, Run], 1),
        (&[Run, Unsent, Run], 1),
        (&[Prefill, Run], 0),
        (&[Rejected, Run], 1),
        (&[Rejected, Prefill, Run], 1),
        (&[Rejected, Rejected, Run], 2),
        (&[Prefill, Run, Prefill, Run], 2),
        (&[Prefill, Unsent, Run, Run], 1),
    ];
    for (steps, expected) in cases {
        assert_eq!(take(steps), (expected, expected), "{steps:?}");
    }
}

/// Guards against a further prefill that is computed although the budget has no attempt left for the request.
#[test]
fn take_for_both() {
    let mut arrivals = Arrivals::default();
    arrivals.on_send();
    arrivals.on_prefilled();
    arrivals.on_send();
    assert_eq!((arrivals.due_for_request(), arrivals.due_for_prefill()), (1, 2));
}

/// Guards against extra arrivals that were not taken from the budget, of two calls for a prefill that run at the same
/// time: the first one may still be connecting when the second one is decided.
#[test]
fn take_for_two_prefills() {
    for is_sent in [true, false] {
        for accepted in 0..=2 {
            let before = Arrivals::default();
            let mut arrivals = before;
            if is_sent {
                arrivals.on_send();
            }
            let mut taken = arrivals.due_for_second_prefill(before);
            assert_eq!(taken, 1);
            arrivals.on_taken();
            (0..2 - u32::from(is_sent)).for_each(|_| {
                arrivals.on_send();
            });
            (0..accepted).for_each(|_| {
                arrivals.on_prefilled();
            });
            taken += arrivals.due_for_request();
            // Two calls and the request are three arrivals. The first one is free, and so is an accepted call.
            let extras = if accepted == 0 { 2 } else { 1 };
            assert_eq!(taken, extras, "{is_sent} {accepted}");
        }
    }
}
