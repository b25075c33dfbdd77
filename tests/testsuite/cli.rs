//! The command-line tool and the daemon's settings: complete output and exit codes.

use std::process::Command;
use std::process::Output;

use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::TOKEN;
use snapbox::assert_data_eq;
use snapbox::str;

use crate::support::fleet;

/// Runs the tool against daemon 0 of `fleet`.
fn tool(fleet: &Fleet, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sequoiastream"))
        .args(args)
        .env("SEQUOIASTREAM_SERVER", fleet.daemons[0].url())
        .env("SEQUOIASTREAM_OPERATOR_TOKEN", TOKEN)
        .env("USER", "giulia")
        .output()
        .expect("the tool runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Runs the daemon with the given settings only and an empty environment.
fn daemon(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sequoiastreamd"))
        .args(args)
        .env_clear()
        .output()
        .expect("the daemon runs")
}

#[actix_web::test]
async fn query_products() {
    let fleet = fleet().start_configured().await;
    let output = tool(&fleet, &["query", "show", "products"]);
    assert_data_eq!(
        stdout(&output),
        str![[r#"
PRODUCT   SHARE  DEADLINE  WEIGHT  KEYS
dispatch  60%    30000ms   0       1

"#]]
    );
}

#[actix_web::test]
async fn query_filtered_json() {
    let fleet = fleet().plain(1).start_configured().await;
    let output = tool(
        &fleet,
        &[
            "--format",
            "json",
            "query",
            "show engines where service = ordini limit 1",
        ],
    );
    assert_data_eq!(
        stdout(&output),
        str![[r#"
{
  "table": {
    "columns": [
      "engine",
      "service",
      "zone",
      "address",
      "state",
      "role",
      "fencing"
    ],
    "rows": [
      [
        "p0",
        "ordini",
        "lodi-a",
        "127.0.0.1:[..]",
        "serving",
        "auto",
        "ignored"
      ]
    ]
  }
}

"#]]
    );
}

#[actix_web::test]
async fn query_limits() {
    let fleet = fleet().start_configured().await;
    fleet.complete(0, "how much dry ice", 5, 1).await;
    let output = tool(&fleet, &["query", "show limits"]);
    assert_data_eq!(
        stdout(&output),
        str![[r#"
SERVICE     PRODUCT   OWED   USED   CAPACITY
assistente  dispatch  0.600  0.[..]  1.00

"#]]
    );
}

#[actix_web::test]
async fn query_column_unknown() {
    let fleet = fleet().start_configured().await;
    let output = tool(&fleet, &["query", "show products where colour = blue"]);
    assert_eq!(output.status.code(), Some(3));
    assert_data_eq!(
        stderr(&output),
        str![[r#"
error: there is no column `colour` in `products`; it has product, share, deadline, weight, keys

"#]]
    );
}

#[actix_web::test]
async fn query_syntax_wrong() {
    let fleet = fleet().start().await;
    let output = tool(&fleet, &["query", "create product dispatch share 101"]);
    assert_eq!(output.status.code(), Some(3));
    assert_data_eq!(
        stderr(&output),
        str![[r#"
error: could not read the statement: line 1, column 31: expected a share in percent, 0 to 100, found `101`
  create product dispatch share 101
                                ^
help: see docs/GRAMMAR.md

"#]]
    );
}

#[actix_web::test]
async fn query_token_wrong() {
    let fleet = fleet().start().await;
    let output = tool(&fleet, &["--token", "guessed", "query", "show products"]);
    assert_eq!(output.status.code(), Some(3));
    assert_data_eq!(
        stderr(&output),
        str![[r#"
error: the operator token is missing or wrong
help: set SEQUOIASTREAM_OPERATOR_TOKEN

"#]]
    );
}

/// If the last command of an applied file is rejected, no command of the file may take effect. Otherwise the fleet
/// would be left in a partly changed state.
#[actix_web::test]
async fn apply_all_or_nothing() {
    let fleet = fleet().start_configured().await;
    let file = std::env::temp_dir().join(format!("sequoiastream-apply-{}.sst", fleet.platform.id()));
    std::fs::write(
        &file,
        "create product docks share 10;\ncreate product dispatch share 10;\n",
    )
    .expect("written");
    let path = file.display().to_string();
    let output = tool(&fleet, &["apply", &path]);
    let after = tool(&fleet, &["query", "show products"]);
    std::fs::remove_file(&file).expect("removed");
    assert_eq!(output.status.code(), Some(3));
    assert_data_eq!(
        stderr(&output),
        str![[r#"
error: could not accept the change: command [..] can't be applied: product `dispatch` already exists

"#]]
    );
    assert_data_eq!(
        stdout(&after),
        str![[r#"
PRODUCT   SHARE  DEADLINE  WEIGHT  KEYS
dispatch  60%    30000ms   0       1

"#]]
    );
}

/// An operator whose connection breaks submits the command again with the same id. It must return the first outcome and
/// must not be executed twice.
#[actix_web::test]
async fn query_same_id_twice() {
    let fleet = fleet().start_configured().await;
    let args = [
        "query",
        "--id",
        "01a238d1-61c7-72ee-9d08-fa614a7b3517",
        "create product docks share 10",
    ];
    let first = tool(&fleet, &args);
    let second = tool(&fleet, &args);
    assert_eq!((first.status.code(), second.status.code()), (Some(0), Some(0)));
    assert_data_eq!(
        stdout(&second),
        str![[r#"
was accepted before as version 2, in force on [..] of the [..] instances heard of

"#]]
    );
}

#[test]
fn unreachable_server() {
    let output = Command::new(env!("CARGO_BIN_EXE_sequoiastream"))
        .args(["--server", "http://127.0.0.1:1", "query", "--id"])
        .args(["01a238d1-61c7-72ee-9d08-fa614a7b3517", "drain engine e1"])
        .output()
        .expect("the tool runs");
    assert_eq!(output.status.code(), Some(5));
    assert_data_eq!(
        stderr(&output),
        str![[r#"
note: this was command 01a238d1-61c7-72ee-9d08-fa614a7b3517; `--id` gives it again safely
error: could not reach http://127.0.0.1:1/operator/statement: Failed to connect to host: Connection refused[..]
help: try another instance with --server

"#]]
    );
}

/// All invalid settings must be reported at once, or an operator would have to restart the daemon after fixing each
/// one.
#[test]
fn settings_all_faults() {
    let output = daemon(&[
        "--check",
        "--name=Lodi",
        "--listen=nowhere",
        "--platform=10.0.0.1:7000",
        "--operator-token=short",
        "--workers=0",
    ]);
    assert_eq!(output.status.code(), Some(2));
    assert_data_eq!(
        stderr(&output),
        str![[r#"
error: could not accept the settings:
  - --name "Lodi": 'L' can't stand at byte 0 of a name (lower-case letter first, then also digits, `-`, `.`, `_`)
  - --zone is missing
  - --listen "nowhere": invalid socket address syntax
  - --platform "10.0.0.1:7000": must begin with http://
  - --operator-token must have at least 16 bytes
  - --cluster-key is missing
  - --workers must be at least 1

"#]]
    );
}

#[test]
fn settings_good() {
    let output = daemon(&[
        "--check",
        "--name=lodi-a-1",
        "--zone=lodi-a",
        "--operator-token=a-token-of-some-length",
        "--cluster-key=a-key-of-some-length",
    ]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(stdout(&output), "the settings are good\n");
}
