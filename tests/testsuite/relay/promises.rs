//! What proves that a request was not run: answers of engines that look like a confirmation, and those that are one.

use std::rc::Rc;

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use tokio::sync::Notify;

use super::engine::Action;
use super::engine::ScriptedEngine;
use super::engine::answer;
use super::instance::Instance;
use super::instance::status;

/// The first part of an answer that declines, up to the confirmation.
const DECLINED_PART: &str = "HTTP/1.1 503 Service Unavailable\r\nx-declined: 1\r\n";

/// An instance with one engine, and a route of requests that may not be repeated.
async fn instance_before(engine: &ScriptedEngine, kind: RouteKind) -> Instance {
    Instance::start(kind, &[(engine, Stage::Whole)], |_| {})
}

/// Guards against a promise by a provisional answer, after which the engine runs the request.
#[actix_web::test]
async fn provisional_answer_declines() {
    for kind in [RouteKind::Once, RouteKind::Idempotent] {
        let engine = ScriptedEngine::start(|_, request| {
            let early = "HTTP/1.1 103 Early Hints\r\nx-declined: 1\r\n\r\n".to_string();
            vec![Action::Send(early), answer(request, "done")]
        });
        let engine = engine.await;
        let got = instance_before(&engine, kind).await.get("/r/x", "q1", "").await;
        assert!(got.ends_with("done"), "{kind:?}: {got}");
    }
}

/// Guards against a promise by a confirmation that has not arrived as a whole, as of an engine that fails amid its answer.
#[actix_web::test]
async fn confirmation_cut() {
    for end in [Action::Close, Action::Reset] {
        let engine =
            ScriptedEngine::start(move |_, _| vec![Action::Send(DECLINED_PART.to_string()), end.clone()]);
        let engine = engine.await;
        let instance = instance_before(&engine, RouteKind::Once).await;
        let got = instance.get("/r/x", "q1", "").await;
        assert_eq!(status(&got), "502", "{got}");
    }
}

/// Guards against a failure where a promise is due, because the confirmation arrives in two parts.
#[actix_web::test]
async fn confirmation_in_parts() {
    let go_on = Rc::new(Notify::new());
    let waiting = go_on.clone();
    let engine = ScriptedEngine::start(move |_, _| {
        let rest = "content-length: 0\r\n\r\n".to_string();
        vec![
            Action::Send(DECLINED_PART.to_string()),
            Action::Await(waiting.clone()),
            Action::Send(rest),
        ]
    });
    let engine = engine.await;
    let instance = instance_before(&engine, RouteKind::Once).await;
    let asked = async {
        engine.wait_for(|log| !log.requests.is_empty()).await;
        go_on.notify_one();
    };
    let (got, ()) = tokio::join!(instance.get("/r/x", "q1", "x-deadline: 3000\r\n"), asked);
    assert_eq!(status(&got), "503", "{got}");
}

/// Guards against a promise by the confirmation that another request was not run.
#[actix_web::test]
async fn confirmation_of_other_request() {
    for line in ["503 Service Unavailable", "421 Misdirected Request"] {
        let engine = ScriptedEngine::start(move |_, _| {
            let text =
                format!("HTTP/1.1 {line}\r\nx-request: other\r\nx-declined: 1\r\ncontent-length: 0\r\n\r\n");
            vec![Action::Send(text), Action::Hold]
        });
        let engine = engine.await;
        let instance = instance_before(&engine, RouteKind::Once).await;
        let got = instance.get("/r/x", "q1", "").await;
        assert_eq!(status(&got), "502", "{line}: {got}");
    }
}
