//! The contract between the key-value client and the platform.

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use sequoiastream_core::name::Name;
use sequoiastream_platform::Expect;
use sequoiastream_platform::KvClient;
use sequoiastream_platform::KvError;
use uuid::Uuid;

fn client(base: &str) -> KvClient {
    let caller = Name::new("i0").expect("a name");
    KvClient::new(base, &caller, Duration::from_millis(300), Uuid::new_v4())
}

/// The platform takes each write and closes the connection without an answer. The writer must not be told
/// that its write did not take effect: it may have. Cause: awc reports such a close as a failed connect.
#[actix_web::test]
async fn swap_closed_without_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let base = format!("http://{}", listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut bytes = [0; 4096];
            let _ = stream.and_then(|mut s| s.read(&mut bytes));
        }
    });
    let result = client(&base).swap("a", Expect::Absent, b"x", None).await;
    assert_eq!(result, Err(KvError::Unresolved));
}

/// Nothing listens where the platform should. The write surely did not take effect, and the writer is told so.
#[actix_web::test]
async fn swap_refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let base = format!("http://{}", listener.local_addr().expect("an address"));
    drop(listener);
    let result = client(&base).swap("a", Expect::Absent, b"x", None).await;
    let error = result.expect_err("nobody listens");
    assert!(matches!(error, KvError::Connect(_)), "{error:?}");
    assert!(!error.is_ambiguous());
}
