//! Checks that the documented catalogue of log events matches the code.

use sequoiastream_core::log_event;

#[test]
fn catalogue_complete() {
    let page = include_str!("../../docs/EVENTS.md");
    let listed: Vec<&str> = page.lines().filter(|l| l.starts_with("| ")).skip(2).collect();
    let numbers: Vec<String> = listed
        .iter()
        .map(|l| {
            l.split('|')
                .take(3)
                .skip(1)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join(" ")
        })
        .collect();
    let known: Vec<String> = log_event::ALL
        .iter()
        .map(|e| format!("{} `{}`", e.number, e.slug))
        .collect();
    assert_eq!(numbers, known);
}

/// Guards against two events sharing a number, so that a look-up by number is ambiguous.
#[test]
fn numbers_unique() {
    let mut numbers: Vec<u16> = log_event::ALL.iter().map(|e| e.number).collect();
    let count = numbers.len();
    numbers.sort();
    numbers.dedup();
    assert_eq!(numbers.len(), count);
}
