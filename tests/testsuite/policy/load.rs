use sequoiastream_standin::load::LoadSettings;
use sequoiastream_standin::load::mix::Deadlines;
use sequoiastream_standin::load::mix::Phase;
use sequoiastream_standin::load::mix::Traffic;
use sequoiastream_standin::load::report::LatencyTargets;
use sequoiastream_standin::load::run;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::fleet::MODEL;
use sequoiastream_testsupport::http;
use sequoiastream_testsupport::process::Process;

use crate::support::fleet;

#[actix_web::test]
async fn load_small_run() {
    let fleet = fleet()
        .engines(3)
        .daemons(2)
        .plain(1)
        .engine_arg("--prefill-rate=100000")
        .start_configured()
        .await;
    for daemon in &fleet.daemons {
        let url = format!("{}/readyz", daemon.url());
        http::until("the instance takes work", || async {
            let answer = http::client().get(&url).send().await.ok()?;
            answer.status().is_success().then_some(())
        })
        .await;
    }
    let phase = |checks, chats| Phase {
        seconds: 0.5,
        checks,
        chats,
        orders: 0.0,
    };
    let traffic = Traffic {
        product: "dispatch".to_string(),
        key: KEY.to_string(),
        phases: vec![phase(4.0, 30.0), phase(20.0, 6.0)],
    };
    let settings = LoadSettings {
        targets: fleet.daemons.iter().map(Process::address).collect(),
        traffic: vec![traffic],
        model: MODEL.to_string(),
        service: "ordini".to_string(),
        deadlines: Deadlines {
            check: 20_000,
            chat: 20_000,
            order: 20_000,
        },
        latency_targets: LatencyTargets::default(),
        seed: 5,
        engines: fleet.engines.iter().map(Process::address).collect(),
        plain: fleet.plain.iter().map(Process::address).collect(),
    };
    let report = run(settings).await.expect("the stand-ins answer");
    assert!(report.total.offered > 10, "{report}");
    assert_eq!(report.total.good, report.total.offered, "{report}");
    assert_eq!((report.doubled, report.lost, report.untrue), (0, 0, 0));
}
