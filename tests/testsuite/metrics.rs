//! Checks that the documented list of metrics matches the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// The sources in a folder and those below it.
fn sources(folder: &Path) -> Vec<String> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        match path.is_dir() {
            true => found.extend(sources(&path)),
            false => found.push(fs::read_to_string(path).expect("a source")),
        }
    }
    found
}

/// Returns the metric names that the sources register: the first string literal after each call of `register`, or after
/// the encoder that a collector passes to its families.
fn registered() -> BTreeSet<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/util/metrics");
    let mut names = BTreeSet::new();
    for source in sources(&folder) {
        let families = source.split("&mut encoder,").skip(1);
        names.extend(families.filter_map(|call| {
            let rest = call.trim_start().strip_prefix('"')?;
            rest.split('"').next().map(str::to_string)
        }));
        let calls = source.split(".register").skip(1);
        names.extend(calls.filter_map(|call| {
            let (kind, rest) = call.split_once('(')?;
            let name = rest.trim_start().strip_prefix('"')?.split('"').next()?;
            matches!(kind, "" | "_with_unit").then(|| name.to_string())
        }));
    }
    names
}

#[test]
fn page_complete() {
    let page = include_str!("../../docs/METRICS.md");
    let rows = page.lines().filter_map(|l| l.strip_prefix("| `sequoiastream_"));
    let listed: BTreeSet<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(str::to_string)
        .collect();
    let expected: BTreeSet<String> = registered();
    assert!(expected.len() > 20, "{expected:?}");
    assert_eq!(listed, expected);
}
