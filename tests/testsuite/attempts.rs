//! Whether a request may be retried after an attempt has ended.

use sequoiastream_core::attempt::AttemptLimit;
use sequoiastream_core::attempt::Attempts;
use sequoiastream_core::attempt::End;
use sequoiastream_core::attempt::NextStep;
use sequoiastream_core::config::Repeat;
use sequoiastream_core::relay::routes::RouteKind;

const ENDS: [End; 6] = [
    End::Unsent,
    End::Declined,
    End::Misdirected,
    End::Broken,
    End::Failed,
    End::Silent,
];

/// A request that must not run twice may be retried only if the attempt certainly did not run. A reused connection may
/// break after the engine has read the request, so neither a broken connection nor a missing answer proves that.
#[test]
fn next_once_needs_proof() {
    for kind in [RouteKind::Once, RouteKind::Stream] {
        for end in ENDS {
            let next = Attempts::new(kind.repeat(), AttemptLimit::Sent(5)).on_end(end);
            let expected = match end {
                End::Unsent | End::Declined | End::Misdirected => NextStep::Retry,
                _ => NextStep::Fail,
            };
            assert_eq!(next, expected, "{kind:?} {end:?}");
        }
    }
}

#[test]
fn next_repeatable_until_most() {
    for kind in [RouteKind::Idempotent, RouteKind::Resumable] {
        for end in ENDS {
            let mut attempts = Attempts::new(kind.repeat(), AttemptLimit::Sent(2));
            assert_eq!(attempts.on_end(end), NextStep::Retry, "{kind:?} {end:?}");
            let second = attempts.on_end(End::Broken);
            let expected = if end == End::Unsent {
                NextStep::Retry
            } else {
                NextStep::Fail
            };
            assert_eq!(second, expected, "{kind:?} {end:?}");
        }
    }
}

/// A request may be refused as not run only if no attempt may have run. If only the last attempt were considered, a
/// request whose first engine breaks off and whose second declines would be refused, and the caller would send it
/// again.
#[test]
fn refuse_only_if_none_ran() {
    let mut attempts = Attempts::new(Repeat::Safe, AttemptLimit::Sent(9));
    attempts.on_end(End::Declined);
    assert_eq!(attempts.give_up(), NextStep::Refuse);
    attempts.on_end(End::Silent);
    attempts.on_end(End::Declined);
    assert_eq!(attempts.give_up(), NextStep::Fail);
}

/// Guards against a request that is refused as not run while an attempt at it is on its way: its ending was not recorded.
#[test]
fn refuse_not_while_sent() {
    for repeat in [Repeat::Never, Repeat::Safe] {
        let mut attempts = Attempts::new(repeat, AttemptLimit::Sent(5));
        assert_eq!(attempts.on_unsent(), NextStep::Retry);
        assert_eq!(attempts.give_up(), NextStep::Refuse);
        attempts.on_send();
        assert_eq!(attempts.give_up(), NextStep::Fail);
        attempts.on_unsent();
        assert_eq!(attempts.give_up(), NextStep::Fail, "the other one is on its way");
        attempts.on_end(End::Declined);
        assert_eq!(attempts.give_up(), NextStep::Refuse);
    }
}
