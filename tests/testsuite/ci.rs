//! Tests that CI skips because they are known to fail, and processes that tests start.

use std::collections::BTreeSet;
use std::process::Command;

use crate::promises::tests_of_suites;
use crate::support::fleet;

/// Returns the names of the tests that this suite would run with these arguments.
fn list_tests(arguments: &[&str]) -> BTreeSet<String> {
    let suite = std::env::current_exe().expect("the path of this suite");
    let output = Command::new(suite).arg("--list").args(arguments).output();
    let output = output.expect("a list");
    let text = String::from_utf8(output.stdout).expect("text");
    let names = text.lines().filter_map(|line| line.strip_suffix(": test"));
    names.map(str::to_string).collect()
}

/// Skipping a listed test must not skip others whose names begin with the same text; their failures would go unnoticed.
#[test]
fn skip_whole_names_only() {
    let all = list_tests(&[]);
    let none = list_tests(&["--exact", "--skip", "ci::skip_whole"]);
    assert_eq!(none, all);
    let mut but_one = all.clone();
    but_one.remove("ci::skip_whole_names_only");
    let passed = list_tests(&["--exact", "--skip", "ci::skip_whole_names_only"]);
    assert_eq!(passed, but_one);
    let script = include_str!("../../.ci/run");
    assert!(script.contains("cargo test --locked --workspace -- --exact \"${skips[@]}\"\n"));
}

/// Each listed test must exist. An entry for a removed test skips nothing, and the fault that it records is forgotten.
#[test]
fn known_red_exist() {
    let mut all = list_tests(&[]);
    all.extend(tests_of_suites());
    let known = include_str!("../../KNOWN-RED.txt");
    for line in known.lines().filter(|line| !line.trim().is_empty()) {
        let name = line.split('|').next().unwrap_or_default().trim();
        assert!(all.contains(name), "{name} is not a test of either suite");
    }
}

/// The process group of a process.
fn process_group(id: u32) -> String {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("a running process");
    let (_, fields) = stat.rsplit_once(')').expect("a name in parentheses");
    fields.split_whitespace().nth(2).expect("a group").to_string()
}

/// Guards against paused daemons that are resumed or killed by the kernel because the shell that started the tests in
/// the background exits: the processes of a fleet must not belong to the group of the tests.
#[actix_web::test]
async fn process_group_own() {
    let fleet = fleet().start().await;
    let id = fleet.daemons[0].id();
    assert_eq!(process_group(id), id.to_string());
}
