//! Engines that send bytes without end, in a head or a body, until the instance closes the connection.

use std::time::Duration;

use sequoiastream::ops::relay::send::MAX_ANSWER_BYTES;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;

use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::head;
use super::instance::Instance;
use super::instance::status;

/// Deadline of the callers.
const DEADLINE: Duration = Duration::from_secs(10);

/// Time within which an instance closes the connection: long before the deadline.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// Maximum number of bytes that an instance may accept of an answer without end: the longest answer, and what the buffers of
/// both sockets hold.
const MAX_ACCEPTED: usize = MAX_ANSWER_BYTES + (12 << 20);

/// The last chunk of an answer.
const LAST_CHUNK: &str = "0\r\n\r\n";

const KINDS: [RouteKind; 4] = [
    RouteKind::Once,
    RouteKind::Idempotent,
    RouteKind::Stream,
    RouteKind::Resumable,
];

/// The place in an answer from which on it has no end.
#[derive(Debug, Clone, Copy)]
enum Place {
    /// No answer at all.
    Garbage,
    BlankLines,
    StatusLine,
    HeaderLine,
    HeaderLines,
    /// Provisional answers, of which each is valid.
    Provisional,
    ChunkSize,
    ChunkExtension,
    Chunks,
    Trailers,
    /// A body with neither a length nor chunks.
    Body,
}

const PLACES: [Place; 11] = [
    Place::Garbage,
    Place::BlankLines,
    Place::StatusLine,
    Place::HeaderLine,
    Place::HeaderLines,
    Place::Provisional,
    Place::ChunkSize,
    Place::ChunkExtension,
    Place::Chunks,
    Place::Trailers,
    Place::Body,
];

impl Place {
    /// An answer to `request` that has no end from here on.
    fn answer(self, request: &ReceivedRequest) -> Vec<Action> {
        let whole_head = |lines: &str| head(request, lines);
        let chunked = || whole_head("transfer-encoding: chunked\r\n");
        let started = || whole_head("").trim_end().to_string() + "\r\n";
        let letters = "x".repeat(1 << 10);
        let (beginning, repeated) = match self {
            Place::Garbage => (String::new(), letters),
            Place::BlankLines => (String::new(), "\r\n".repeat(512)),
            Place::StatusLine => ("HTTP/1.1 200 ".to_string(), letters),
            Place::HeaderLine => (started() + "x-pad: ", letters),
            Place::HeaderLines => (started(), "x-pad: y\r\n".repeat(64)),
            Place::Provisional => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(32)),
            Place::ChunkSize => (chunked(), "0".repeat(1 << 10)),
            Place::ChunkExtension => (chunked() + "1;", letters),
            Place::Chunks => (chunked(), format!("400\r\n{letters}\r\n")),
            Place::Trailers => (chunked() + "2\r\nok\r\n0\r\n", "x-pad: y\r\n".repeat(64)),
            Place::Body => (whole_head(""), letters),
        };
        vec![Action::Send(beginning), Action::SendEndlessly(repeated)]
    }
}

/// Guards against an instance that reads an answer without end for good, or until its memory is used up: it closes the
/// connection long before the deadline of the caller, who gets no answer that looks whole and no promise that nothing has run.
#[actix_web::test]
async fn endless_answer_closed() {
    for place in PLACES {
        for kind in KINDS {
            let engine = ScriptedEngine::start(move |_, request| place.answer(request)).await;
            let stage = match kind.is_stream() {
                true => Stage::Decode,
                false => Stage::Whole,
            };
            let instance = Instance::start(kind, &[(&engine, stage)], |_| {});
            let begun = clock::now();
            let deadline = format!("x-deadline: {}\r\n", DEADLINE.as_millis());
            let got = instance.get("/r/x", "q", &deadline).await;
            engine.wait_for(|log| log.disconnects == log.requests.len()).await;
            let elapsed = clock::now().since(begun);
            let accepted = engine.log().endless;
            let case = format!(
                "{place:?} {kind:?} after {elapsed:?}, {accepted} bytes: {:.200}",
                got
            );
            assert!(!["429", "503"].contains(&status(&got)), "{case}");
            assert!(status(&got) != "200" || !got.ends_with(LAST_CHUNK), "{case}");
            assert!(accepted <= MAX_ACCEPTED, "{case}");
            assert!(elapsed < CLOSE_TIME, "{case}");
        }
    }
}

/// Guards against bytes without end after a whole answer, which belong to no request: the caller gets the answer, and the
/// next request goes on another connection.
#[actix_web::test]
async fn endless_after_answer_closed() {
    for kind in [RouteKind::Once, RouteKind::Idempotent] {
        let engine = ScriptedEngine::start(|_, request| {
            let whole = head(request, "content-length: 2\r\n") + "ok";
            vec![Action::Send(whole), Action::SendEndlessly("x".repeat(1 << 10))]
        })
        .await;
        let instance = Instance::start(kind, &[(&engine, Stage::Whole)], |_| {});
        for number in 0..2 {
            let got = instance.get("/r/x", &format!("q{number}"), "").await;
            assert_eq!(status(&got), "200", "{kind:?}: {got}");
            assert!(got.ends_with("ok"), "{kind:?}: {got}");
        }
        engine.wait_for(|log| log.disconnects == 2).await;
        assert!(engine.log().endless <= MAX_ACCEPTED, "{kind:?}");
    }
}
