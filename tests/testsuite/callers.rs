//! The HTTP API for callers: requests and replies of common clients, and requests that are rejected.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::fleet::MODEL;
use sequoiastream_testsupport::http;
use sequoiastream_upstream::LineReader;
use sequoiastream_upstream::wire::PieceBody;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::support::fleet;

async fn post(fleet: &Fleet, path: &str, body: &Value) -> http::Reply {
    let url = format!("{}{path}", fleet.daemons[0].url());
    let key = format!("Bearer {KEY}");
    http::send("POST", &url, &[("authorization", &key)], body).await
}

fn chat(extra: Value) -> Value {
    let mut body = json!({
        "model": MODEL, "max_tokens": 2, "seed": 1,
        "messages": [{"role": "user", "content": "hello"}],
    });
    let members = extra.as_object().expect("an object").clone();
    body.as_object_mut().expect("an object").extend(members);
    body
}

#[actix_web::test]
async fn body_refused() {
    let fleet = fleet().start_configured().await;
    let cases = [
        (chat(json!({"n": 2})), "`n` must be 1"),
        (chat(json!({"stop": ["x"]})), "`stop` is not supported"),
        (chat(json!({"tools": [{}]})), "`tools` are not supported"),
        (chat(json!({"max_tokens": 0})), "`max_tokens` must be at least 1"),
        (
            chat(json!({"max_tokens": 32_769})),
            "`max_tokens` must be at most 32768",
        ),
        (chat(json!({"messages": []})), "the prompt is empty"),
        (
            json!({"messages": []}),
            "could not read the request: missing field `model` at line 1 column 15",
        ),
    ];
    for (body, message) in cases {
        let reply = post(&fleet, "/v1/chat/completions", &body).await;
        assert_eq!(
            (reply.status, reply.outcome.as_deref()),
            (400, Some("not-run")),
            "{body}"
        );
        let error = &reply.json::<Value>()["error"];
        assert_eq!(error["message"], message);
        assert_eq!(error["type"], "invalid_request_error");
        assert_eq!(error["code"], "bad-request");
    }
    assert_eq!(fleet.attempts_served(0).await, 0);
}

#[actix_web::test]
async fn body_of_ordinary_clients() {
    let fleet = fleet().start_configured().await;
    let cases = [
        chat(json!({})),
        chat(json!({"n": 1, "stop": null, "stream": null, "stream_options": null, "tools": null})),
        chat(
            json!({"temperature": 0.2, "top_p": 1, "user": "u", "max_tokens": null, "max_completion_tokens": null}),
        ),
        chat(json!({"messages": [{"role": "user", "content": [{"type": "text", "text": "hello"}]}]})),
        chat(json!({"messages": [{"role": "assistant", "content": null}, {"role": "user", "content": "x"}]})),
        chat(json!({"seed": -1})),
    ];
    for body in cases {
        let reply = post(&fleet, "/v1/chat/completions", &body).await;
        assert_eq!(reply.status, 200, "{body}: {}", reply.body);
        let answer: Value = reply.json();
        assert_eq!(answer["object"], "chat.completion");
        assert_eq!(answer["choices"][0]["message"]["role"], "assistant");
        assert_eq!(answer["choices"][0]["finish_reason"], "length");
        assert!(answer["created"].as_u64().is_some_and(|c| c > 0));
    }
}

#[actix_web::test]
async fn stream_of_ordinary_clients() {
    let fleet = fleet().start_configured().await;
    let body = chat(json!({"stream": true, "stream_options": {"include_usage": true}}));
    let reply = post(&fleet, "/v1/chat/completions", &body).await;
    let data: Vec<&str> = reply
        .body
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .collect();
    assert_eq!(data.last(), Some(&"[DONE]"));
    let events: Vec<Value> = data[..data.len() - 1]
        .iter()
        .map(|d| serde_json::from_str(d).expect("JSON"))
        .collect();
    assert_eq!(events.len(), 4, "two tokens, the finish reason and the usage");
    assert_eq!(events[0]["choices"][0]["delta"]["role"], "assistant");
    assert_eq!(events[1]["choices"][0]["delta"]["role"], Value::Null);
    assert_eq!(events[2]["choices"][0]["finish_reason"], "length");
    assert_eq!(events[3]["choices"], json!([]));
    assert_eq!(
        events[3]["usage"],
        json!({"prompt_tokens": 2, "completion_tokens": 2, "total_tokens": 4})
    );
    assert_eq!(events[3]["outcome"], "whole");
}

#[actix_web::test]
async fn path_unknown() {
    let fleet = fleet().start_configured().await;
    let reply = post(&fleet, "/v1/embeddings", &json!({})).await;
    assert_eq!((reply.status, reply.outcome.as_deref()), (404, Some("not-run")));
    assert_eq!(
        reply.json::<Value>()["error"]["message"],
        "there is no POST /v1/embeddings"
    );
}

#[actix_web::test]
async fn models_listed() {
    let fleet = fleet().plain(1).start_configured().await;
    let url = format!("{}/v1/models", fleet.daemons[0].url());
    let key = format!("Bearer {KEY}");
    let reply = http::send("GET", &url, &[("authorization", &key)], "").await;
    let body: Value = reply.json();
    assert_eq!(body["data"][0]["id"], MODEL);
    assert_eq!(body["data"].as_array().map(Vec::len), Some(1));
    let stranger = http::send("GET", &url, &[("authorization", "Bearer x")], "").await;
    assert_eq!(stranger.status, 401);
}

#[actix_web::test]
async fn body_too_large() {
    let fleet = fleet().start_configured().await;
    let body = chat(json!({"user": "x".repeat(5 * 1024 * 1024)}));
    let reply = post(&fleet, "/v1/chat/completions", &body).await;
    assert_eq!(
        (reply.status, reply.outcome.as_deref()),
        (400, Some("not-run")),
        "{reply:?}"
    );
}

/// Reading a request body must have a time limit. Otherwise callers that send half a body and then wait can occupy all
/// connections and lock out everybody else.
#[actix_web::test]
async fn body_too_slow() {
    let fleet = fleet().daemon_arg("--body-ms=200").start_configured().await;
    let mut socket = TcpStream::connect(fleet.daemons[0].address()).expect("connected");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ncontent-length: 100\r\n\r\n{{\"model\""
    );
    let timeout = Duration::from_secs(20);
    socket.set_read_timeout(Some(timeout)).expect("set");
    socket.write_all(head.as_bytes()).expect("sent");
    let mut answer = vec![0; 4096];
    let count = socket.read(&mut answer).expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("sequoiastream-outcome: not-run"), "{answer}");
}

/// The network may split an engine's lines at any byte; the decoded pieces must be the same.
#[test]
fn lines_cut_anywhere() {
    let pieces: Vec<PieceBody> = (0..4)
        .map(|offset| PieceBody {
            attempt: Uuid::from_u128(7),
            offset,
            text: format!("wört {offset}\n"),
            finish: None,
        })
        .collect();
    let mut bytes = Vec::new();
    for piece in &pieces {
        bytes.extend(serde_json::to_vec(piece).expect("JSON"));
        bytes.push(b'\n');
    }
    let bytes = Bytes::from(bytes);
    bolero::check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut reader = LineReader::default();
        let mut rest = bytes.clone();
        let mut read = Vec::new();
        for cut in cuts {
            let part = rest.split_to(usize::from(*cut).min(rest.len()));
            reader.push(&part).expect("well formed");
            read.extend(std::iter::from_fn(|| reader.pop()));
        }
        reader.push(&rest).expect("well formed");
        read.extend(std::iter::from_fn(|| reader.pop()));
        assert_eq!(read, pieces);
    });
}

/// Reading arbitrary bytes from an engine must neither panic nor use unbounded memory.
#[test]
fn lines_any_bytes() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let mut reader = LineReader::default();
        let _ = reader.push(bytes);
        while reader.pop().is_some() {}
    });
    let mut reader = LineReader::default();
    let long = vec![b'x'; 64 * 1024 + 1];
    assert!(reader.push(&long).is_err());
}
