//! Checks that the tests named on the page of promises exist in one of the suites.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// The tests of this suite and of those of the platform's adapter, as `module::function`.
pub fn tests_of_suites() -> Vec<String> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let suites = [
        "tests/testsuite",
        "platform/tests/testsuite",
        "platform/tests/crowds",
    ];
    suites
        .iter()
        .flat_map(|suite| tests(&root.join(suite), ""))
        .collect()
}

/// The tests in a test suite's sources.
fn tests(folder: &Path, prefix: &str) -> Vec<String> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder).expect("the sources").flatten() {
        let path = entry.path();
        let stem = path
            .file_stem()
            .and_then(|s| s.to_str())
            .expect("a name")
            .to_string();
        let module = match stem.as_str() {
            "mod" => prefix.to_string(),
            stem => format!("{prefix}{stem}::"),
        };
        if path.is_dir() {
            names.extend(tests(&path, &module));
            continue;
        }
        let text = fs::read_to_string(&path).expect("a source");
        names.extend(test_names(&text).map(|name| format!("{module}{name}")));
    }
    names
}

/// The names of the functions in `source` that have an attribute for tests.
fn test_names(source: &str) -> impl Iterator<Item = &str> {
    let mut is_test = false;
    source.lines().filter_map(move |line| {
        is_test |= line.starts_with("#[") && line.contains("test");
        let function = line.trim_start_matches("async ").strip_prefix("fn ")?;
        let name = function.split_once('(')?.0;
        std::mem::take(&mut is_test).then_some(name)
    })
}

/// Guards against a documented promise that names a test which does not exist.
#[test]
fn page_names_tests() {
    let known = tests_of_suites();
    let page = include_str!("../../docs/PROMISES.md");
    let quoted = page.split('`').skip(1).step_by(2);
    // A code span that contains white space is a block of commands.
    let named = quoted.filter(|n| n.contains("::") && !n.contains(char::is_whitespace));
    let missing: Vec<&str> = named.filter(|n| !known.iter().any(|k| k == n)).collect();
    assert_eq!(missing, Vec::<&str>::new());
}
