//! Bodies in chunks, whole and cut anywhere.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;

use super::engine::ScriptedEngine;
use super::engine::answer;
use super::instance::Instance;
use super::instance::status;

/// Number of bodies.
const BODIES: u64 = 150;

/// A body in chunks of any size, some with extensions and some with trailers, and its bytes.
fn chunked(random: &mut ChaCha8Rng) -> (String, String) {
    let (mut framed, mut body) = (String::new(), String::new());
    for _ in 0..random.next_u32() % 8 {
        let length = 1 + random.next_u32() as usize % [3, 300, 20_000][random.next_u32() as usize % 3];
        let extension = if random.next_u32().is_multiple_of(4) {
            ";a=b"
        } else {
            ""
        };
        let data: String = (0..length).map(|i| char::from(b'a' + (i % 26) as u8)).collect();
        framed.push_str(&format!("{length:x}{extension}\r\n{data}\r\n"));
        body.push_str(&data);
    }
    framed.push_str("0\r\n\r\n");
    (framed, body)
}

/// Guards against an engine that gets a body other than the caller's, or the beginning of one, and against a process that
/// doesn't survive a body that ends anywhere.
#[actix_web::test]
async fn cut_anywhere() {
    let mut random = ChaCha8Rng::seed_from_u64(84);
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "done")]).await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let mut whole = Vec::new();
    for number in 0..BODIES {
        let (framed, body) = chunked(&mut random);
        let is_cut = random.next_u32().is_multiple_of(2);
        let end = match is_cut {
            true => random.next_u32() as usize % framed.len(),
            false => framed.len(),
        };
        let head = format!(
            "POST /r/x HTTP/1.1\r\nhost: shop.example\r\nx-request: q{number}\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        let raw = format!("{head}{}", &framed[..end]);
        if is_cut {
            let got = instance.exchange_cut(&raw).await;
            assert_ne!(status(&got), "200", "body {number}: {got}");
        } else {
            let got = instance.exchange(&raw).await;
            assert_eq!(status(&got), "200", "body {number}: {got}");
            whole.push(body);
        }
    }
    let arrived: Vec<String> = engine
        .log()
        .requests
        .into_iter()
        .map(|request| request.body)
        .collect();
    assert!(
        arrived == whole,
        "{} bodies arrived, {} were whole",
        arrived.len(),
        whole.len()
    );
}
