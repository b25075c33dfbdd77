//! Which workspace a key belongs to, and when an instance may decide it.

use std::time::Duration;

use sequoiastream_core::relay::workspaces::KeyAccess;
use sequoiastream_core::relay::workspaces::KeyAgeLimits;
use sequoiastream_core::relay::workspaces::KeyDigest;
use sequoiastream_core::relay::workspaces::StoreAges;
use sequoiastream_core::relay::workspaces::Workspace;
use sequoiastream_core::relay::workspaces::Workspaces;
use sequoiastream_core::relay::workspaces::WorkspacesError;
use sequoiastream_core::relay::workspaces::grant;

const LIMITS: KeyAgeLimits = KeyAgeLimits {
    change: Duration::from_secs(3),
    revoke: Some(Duration::from_secs(5)),
};

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.to_string(),
        priority: None,
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
    }
}

fn workspaces() -> Workspaces {
    Workspaces::new(vec![workspace("a", &["k1", "k2"]), workspace("b", &["k3"])]).expect("unambiguous keys")
}

fn ages(reported: u64, proven: u64) -> StoreAges {
    StoreAges {
        reported: Duration::from_millis(reported),
        proven: Duration::from_millis(proven),
    }
}

#[test]
fn holder_by_digest() {
    let all = workspaces();
    let holder = |key: &str| all.holder(KeyDigest::of(key.as_bytes())).map(|w| w.name.as_str());
    assert_eq!(
        ["k1", "k2", "k3", "k4"].map(holder),
        [Some("a"), Some("a"), Some("b"), None]
    );
}

#[test]
fn new_unclear_refused() {
    let of = |all: Vec<Workspace>| {
        Workspaces::new(all)
            .expect_err("an ambiguous configuration")
            .to_string()
    };
    assert_eq!(of(vec![workspace("", &["k1"])]), "a workspace has no name");
    assert_eq!(
        of(vec![workspace("a", &["k1"]), workspace("a", &["k2"])]),
        "two workspaces are named a"
    );
    assert_eq!(
        Workspaces::new(vec![workspace("a", &["k1"]), workspace("b", &["k1"])]),
        Err(WorkspacesError::SharedKey("a".to_string(), "b".to_string()))
    );
}

#[test]
fn new_key_twice_in_one() {
    assert!(Workspaces::new(vec![workspace("a", &["k1", "k1"])]).is_ok());
}

/// Guards against a log that shows a caller's key.
#[test]
fn display_first_bytes() {
    let digest = KeyDigest::of(b"secret");
    assert_eq!(digest.to_string().len(), 8);
    assert_ne!(digest.to_string(), KeyDigest::of(b"other").to_string());
}

#[test]
fn grant_known_key() {
    let all = workspaces();
    let granted = grant(&all, Some(b"k3"), ages(0, 3_900), LIMITS);
    assert!(matches!(granted, KeyAccess::Granted(workspace) if workspace.name == "b"));
    assert_eq!(grant(&all, Some(b"k9"), ages(0, 0), LIMITS), KeyAccess::Denied);
    assert_eq!(grant(&all, None, ages(0, 0), LIMITS), KeyAccess::Denied);
}

/// Guards against a revoked key that still works on an instance that lost contact: the store refuses the instance, the
/// key is revoked, and its holder sends a request to that instance six seconds later.
#[test]
fn grant_proof_too_old() {
    assert_eq!(
        grant(&workspaces(), Some(b"k1"), ages(0, 4_100), LIMITS),
        KeyAccess::Unknown
    );
}

/// Guards against an instance that lags and denies a key that was just added: a denial is final for the caller.
#[test]
fn grant_unknown_key_lagging() {
    assert_eq!(
        grant(&workspaces(), Some(b"k9"), ages(3_100, 0), LIMITS),
        KeyAccess::Unknown
    );
}

/// Without strict revocation, an outage of the store affects no caller whose key is known.
#[test]
fn grant_not_strict() {
    let limits = KeyAgeLimits {
        revoke: None,
        ..LIMITS
    };
    let all = workspaces();
    let granted = grant(&all, Some(b"k1"), ages(60_000, 60_000), limits);
    assert!(matches!(granted, KeyAccess::Granted(_)));
}
