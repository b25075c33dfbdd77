//! Answers that their engine cuts at any byte, directly and through a peer, and whose connection it closes as if they were
//! complete.

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::relay::routes::RouteKind;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::UnreachableAddress;
use super::engine::answer;
use super::engine::chunk;
use super::engine::event;
use super::engine::head;
use super::instance::Instance;
use super::instance::status;
use super::tunnels::Peer;
use super::tunnels::detach;

const KINDS: [RouteKind; 4] = [
    RouteKind::Once,
    RouteKind::Idempotent,
    RouteKind::Stream,
    RouteKind::Resumable,
];

const STREAM_KINDS: [RouteKind; 2] = [RouteKind::Stream, RouteKind::Resumable];

const BODY_KINDS: [RouteKind; 2] = [RouteKind::Once, RouteKind::Idempotent];

/// The last chunk of an answer.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// How the instance is connected to its engine.
#[derive(Debug, Clone, Copy)]
enum Link {
    Direct,
    Tunnel,
}

const LINKS: [Link; 2] = [Link::Direct, Link::Tunnel];

/// An instance with one engine, which sends the first `n` bytes of `text` to request number `n` and closes the connection.
struct Setup {
    instance: Instance,
    /// Keeps the address at which the engine can't be reached directly.
    _unreachable: Option<UnreachableAddress>,
}

impl Setup {
    async fn start(kind: RouteKind, link: Link, text: fn(&ReceivedRequest) -> String) -> Setup {
        let engine = ScriptedEngine::start(move |number, request| {
            vec![Action::Send(text(request)[..number].to_string()), Action::Close]
        })
        .await;
        let one_attempt = |route: &mut Route| route.max_attempts = 1;
        match link {
            Link::Direct => Setup {
                instance: Instance::start(kind, &[(&engine, Stage::Whole)], one_attempt),
                _unreachable: None,
            },
            Link::Tunnel => {
                let unreachable = UnreachableAddress::refusing();
                let instance = Instance::start(kind, &[], one_attempt);
                let peer = Peer::new(Some(engine.address())).start(&instance).await;
                detach(&instance, unreachable.address, &[peer]);
                Setup {
                    instance,
                    _unreachable: Some(unreachable),
                }
            }
        }
    }

    /// What the caller receives if the answer is cut after each number of bytes, up to the whole `text`.
    async fn cuts(kind: RouteKind, link: Link, text: fn(&ReceivedRequest) -> String) -> Vec<String> {
        let setup = Setup::start(kind, link, text).await;
        let length = text(&request("q000")).len();
        let mut received = Vec::new();
        for cut in 0..=length {
            let path = format!("/r/{cut}");
            received.push(setup.instance.get(&path, &format!("q{cut:03}"), "").await);
        }
        received
    }
}

/// A request with this id, as an engine receives it.
fn request(id: &str) -> ReceivedRequest {
    ReceivedRequest {
        head: format!("GET / HTTP/1.1\r\nx-request: {id}\r\n\r\n"),
        body: String::new(),
        prior_requests: 0,
    }
}

/// The ids of the events of a stream, and whether it looks complete.
fn stream_received(text: &str) -> (Vec<&str>, bool) {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    (ids.collect(), text.ends_with(LAST_CHUNK))
}

fn unframed_head(request: &ReceivedRequest) -> String {
    head(request, "")
}

fn closing_head(request: &ReceivedRequest) -> String {
    head(request, "connection: close\r\n")
}

fn line_feed_head(request: &ReceivedRequest) -> String {
    head(request, "").replace("\r\n", "\n")
}

fn informed_head(request: &ReceivedRequest) -> String {
    let hints = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    hints.to_string() + &head(request, "")
}

fn length_head(request: &ReceivedRequest) -> String {
    head(request, "content-length: 12\r\n")
}

fn chunked_head(request: &ReceivedRequest) -> String {
    head(request, "transfer-encoding: chunked\r\n")
}

/// Guards against a caller that gets an empty success because its engine stopped within or right after the head of its answer
/// and closed the connection.
#[actix_web::test]
async fn head_cut_not_whole() {
    let heads = [
        unframed_head,
        closing_head,
        line_feed_head,
        informed_head,
        length_head,
        chunked_head,
    ];
    for kind in KINDS {
        for (form, head) in heads.iter().enumerate() {
            for (cut, got) in Setup::cuts(kind, Link::Direct, *head).await.iter().enumerate() {
                assert_eq!(status(got), "502", "{kind:?}, head {form} cut at {cut}: {got}");
            }
        }
    }
}

/// Guards against an empty success as [`head_cut_not_whole`] does, if a peer relays the answer.
#[actix_web::test]
async fn head_cut_in_tunnel() {
    for kind in KINDS {
        for (cut, got) in Setup::cuts(kind, Link::Tunnel, unframed_head)
            .await
            .iter()
            .enumerate()
        {
            assert_eq!(status(got), "502", "{kind:?}, cut at {cut}: {got}");
        }
    }
}

fn unframed_events(request: &ReceivedRequest) -> String {
    head(request, "") + &event(1) + &event(2)
}

fn chunked_events(request: &ReceivedRequest) -> String {
    event_stream(request, 1..=2) + LAST_CHUNK
}

/// Guards against a stream without a length or chunks that ends within an event, or before the first, and looks complete.
#[actix_web::test]
async fn unframed_events_cut() {
    for kind in STREAM_KINDS {
        for link in LINKS {
            let received = Setup::cuts(kind, link, unframed_events).await;
            let second = received.len() - 1 - event(2).len();
            for (cut, got) in received.iter().enumerate() {
                let case = format!("{kind:?}, {link:?}, cut at {cut}: {got}");
                let (ids, is_whole) = stream_received(got);
                match cut {
                    _ if cut < second => assert_eq!(status(got), "502", "{case}"),
                    _ if cut == second => assert_eq!((ids, is_whole), (vec!["1"], true), "{case}"),
                    _ if cut < received.len() - 1 => {
                        assert_eq!((ids, is_whole), (vec!["1"], false), "{case}");
                    }
                    _ => assert_eq!((ids, is_whole), (vec!["1", "2"], true), "{case}"),
                }
            }
        }
    }
}

/// Guards against a stream in chunks that is cut within an event, a size of a chunk or the last chunk, and looks complete.
#[actix_web::test]
async fn chunked_events_cut() {
    for kind in STREAM_KINDS {
        for link in LINKS {
            let received = Setup::cuts(kind, link, chunked_events).await;
            let last = received.len() - 1;
            for (cut, got) in received.iter().enumerate() {
                let case = format!("{kind:?}, {link:?}, cut at {cut}: {got}");
                let (ids, is_whole) = stream_received(got);
                assert_eq!(is_whole, cut == last, "{case}");
                assert!(["1", "2"].starts_with(&ids), "{case}");
                assert_eq!(status(got) == "502", ids.is_empty(), "{case}");
            }
        }
    }
}

fn length_body(request: &ReceivedRequest) -> String {
    head(request, "content-length: 12\r\n") + "a whole body"
}

fn chunked_body(request: &ReceivedRequest) -> String {
    chunked_head(request) + &chunk("a whole") + &chunk(" body") + LAST_CHUNK
}

/// Guards against a body that is cut within its length, a chunk or the size of one, and looks complete.
#[actix_web::test]
async fn framed_body_cut() {
    for kind in BODY_KINDS {
        for link in LINKS {
            for (form, body) in [length_body, chunked_body].iter().enumerate() {
                let received = Setup::cuts(kind, link, *body).await;
                let last = received.len() - 1;
                for (cut, got) in received.iter().enumerate() {
                    let case = format!("{kind:?}, {link:?}, body {form} cut at {cut}: {got}");
                    let expected = if cut == last { "200" } else { "502" };
                    assert_eq!(status(got), expected, "{case}");
                }
            }
        }
    }
}

/// Guards against the failure of an engine that reaches the caller as a success: on a kept connection, the beginning of another
/// head comes before the head of the answer, and both are read as one.
#[actix_web::test]
async fn head_after_other_head() {
    let begun = [
        "HTTP/1.1 200",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\nserver: s",
    ];
    for other in begun {
        let engine = ScriptedEngine::start(move |_, request| match request.prior_requests {
            0 => vec![answer(request, "first")],
            _ => {
                let failure = head(request, "content-length: 3\r\n").replace("200 OK", "500 No");
                vec![Action::Send(other.to_string() + &failure + "why"), Action::Close]
            }
        })
        .await;
        let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
        // A connection stays idle for a moment before it is reused.
        for number in 0.. {
            let got = instance
                .get(&format!("/r/{number}"), &format!("q{number}"), "")
                .await;
            if engine.log().requests[number].prior_requests > 0 {
                assert_ne!(status(&got), "200", "{other:?}: {got}");
                break;
            }
        }
    }
}
