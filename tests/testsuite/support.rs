//! Paths of the binaries under test, and helpers for fleets that several modules share.

use std::path::PathBuf;

use sequoiastream_operator::wire::AcceptedBody;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use sequoiastream_testsupport::fleet::Binaries;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::FleetBuilder;
use sequoiastream_testsupport::fleet::TOKEN;
use sequoiastream_testsupport::http;
use sequoiastream_testsupport::http::Reply;
use uuid::Uuid;

/// Returns a builder of fleets that run the binaries built with this test.
pub fn fleet() -> FleetBuilder {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_sequoiastreamd"));
    let standin = daemon.with_file_name("sequoiastream-standin");
    FleetBuilder::new(Binaries {
        daemon,
        tool: PathBuf::from(env!("CARGO_BIN_EXE_sequoiastream")),
        standin,
    })
}

/// Returns a builder of fleets with short time limits for membership and shutdown.
pub fn quick_fleet() -> FleetBuilder {
    quick_fleet_keeping(600)
}

/// Like [`quick_fleet`], with callers that cache an address for `keep` milliseconds.
pub fn quick_fleet_keeping(keep: u32) -> FleetBuilder {
    fleet()
        .daemon_arg("--heartbeat-ms=100")
        .daemon_arg("--silent-ms=1000")
        .daemon_arg("--stale-ms=2000")
        .daemon_arg("--list-ms=100")
        .daemon_arg(&format!("--keep-ms={keep}"))
        .daemon_arg("--margin-ms=400")
        .daemon_arg("--refuse-ms=200")
        .daemon_arg("--kv-deadline-ms=500")
}

/// Returns a statement by `who` with a new id.
pub fn statement(who: &str, text: &str) -> StatementBody {
    StatementBody {
        id: Uuid::now_v7(),
        who: who.to_string(),
        text: text.to_string(),
        base: None,
        dry_run: false,
        wait: false,
    }
}

/// Sends `body` to daemon `index`.
pub async fn send_statement(fleet: &Fleet, index: usize, body: &StatementBody) -> Reply {
    let url = format!("{}/operator/statement", fleet.daemons[index].url());
    let token = format!("Bearer {TOKEN}");
    http::send("POST", &url, &[("authorization", &token)], body).await
}

/// Parses the body of a reply that accepted a statement.
pub fn accepted(reply: &Reply) -> AcceptedBody {
    match reply.json() {
        ReplyBody::Accepted(accepted) => accepted,
        other => panic!("{other:?}"),
    }
}

/// Returns the column `column` of the table that daemon `index` answers to `query`.
pub async fn column(fleet: &Fleet, index: usize, query: &str, column: &str) -> Vec<String> {
    let reply = send_statement(fleet, index, &statement("tester", query)).await;
    let ReplyBody::Table(table) = reply.json() else {
        panic!("{reply:?}");
    };
    let at = table.columns.iter().position(|c| c == column).expect("a column");
    table.rows.iter().map(|row| row[at].clone()).collect()
}

/// Waits until daemon `index` reports this standing towards the configuration in force.
pub async fn wait_for_standing(fleet: &Fleet, index: usize, standing: &str) {
    let query = format!("show instances where instance = i{index}");
    http::until("the instance stands so", || async {
        let seen = column(fleet, index, &query, "standing").await;
        (seen == [standing]).then_some(())
    })
    .await;
}

/// Waits until every daemon knows all others.
pub async fn wait_for_members(fleet: &Fleet) {
    for index in 0..fleet.daemons.len() {
        http::until("all are heard of", || async {
            let seen = column(fleet, index, "show instances where state = live", "instance").await;
            (seen.len() == fleet.daemons.len()).then_some(())
        })
        .await;
    }
}
