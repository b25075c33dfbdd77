//! Revisions of a store that may be restored from an older copy.

use sequoiastream_core::relay::revision::Revision;

/// Guards against taking a change of the restored store for older than one that it has lost.
#[test]
fn order_by_epoch() {
    assert!(Revision::new(1, 26) > Revision::new(0, 285));
    assert!(Revision::new(1, 26) < Revision::new(1, 27));
    assert_eq!(Revision::new(3, 8).next(), Revision::new(3, 9));
}

/// Guards against a fencing token that is lower than an earlier one, or that a receiver rounds: integers up to 2^53 are exact.
#[test]
fn token_rises() {
    let largest = Revision::new((1 << 17) - 1, (1 << 36) - 1);
    let revisions = [
        Revision::new(0, 1),
        Revision::new(0, 285),
        Revision::new(1, 26),
        Revision::new(2, 1),
        largest,
    ];
    let tokens = revisions.map(|revision| revision.token().expect("it fits"));
    assert_eq!(tokens[..2], [1, 285]);
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    assert!(tokens.iter().all(|token| *token < 1 << 53));
    assert_eq!(Revision::new(1 << 17, 1).token(), None);
    assert_eq!(Revision::new(0, 1 << 36).token(), None);
}
