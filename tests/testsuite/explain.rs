//! Explaining the outcome of a request from logs.

use sequoiastream::ops::explain::Log;
use sequoiastream::ops::explain::explain;
use snapbox::assert_data_eq;
use snapbox::str;

fn log(name: &str, lines: &[&str]) -> Log {
    Log {
        name: name.to_string(),
        text: lines.join("\n"),
    }
}

fn line(time: &str, fields: &str) -> String {
    format!(r#"{{"timestamp":"{time}","level":"INFO","fields":{{{fields}}}}}"#)
}

/// Explains why a request was refused under load.
#[test]
fn refused_under_load() {
    let lines = [
        line(
            "09:00:01",
            r#""message":"config-in-force","event":200,"before":0,"after":7"#,
        ),
        line(
            "09:00:02",
            r#""message":"engines-changed","event":304,"known":9,"open":8"#,
        ),
        line(
            "09:00:03",
            r#""message":"refused","event":401,"request":"q9","takes":210"#,
        ),
        line(
            "09:00:04",
            r#""message":"refused","event":401,"request":"q1","why":"it would be late","takes":214,"left":1900"#,
        ),
        line(
            "09:00:05",
            r#""message":"engines-changed","event":304,"known":9,"open":9"#,
        ),
    ];
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let explanation = explain("q1", &[log("one.log", &lines)]).expect("an explanation");
    assert_data_eq!(
        explanation.to_string(),
        str![[r#"
request q1
> one.log:4 09:00:04 401 refused left=1900 takes=214 why=it would be late
decided by one.log:4
believed then: 200 config-in-force after=7 before=0
believed then: 304 engines-changed known=9 open=8

"#]]
    );
}

/// Explains a stream that broke off: its engine failed, and so did the engine on which it was resumed.
#[test]
fn broken_stream() {
    let lines = [
        line("09:00:01", r#""message":"kv-failed","event":300,"error":"down""#),
        line(
            "09:00:02",
            r#""message":"forwarded","event":405,"request":"q1","engine":"e1""#,
        ),
        "no line of ours".to_string(),
        line(
            "09:00:03",
            r#""message":"attempt-failed","event":400,"request":"q1","engine":"e1","end":"Broken""#,
        ),
        line(
            "09:00:03",
            r#""message":"resumed","event":406,"request":"q1","after":2,"to":"e2""#,
        ),
        line(
            "09:00:04",
            r#""message":"broken-off","event":407,"request":"q1","engine":"e2","why":"no answer in time""#,
        ),
    ];
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let explanation = explain("q1", &[log("one.log", &lines)]).expect("an explanation");
    assert_data_eq!(
        explanation.to_string(),
        str![[r#"
request q1
  one.log:2 09:00:02 405 forwarded engine=e1
  one.log:4 09:00:03 400 attempt-failed end=Broken engine=e1
  one.log:5 09:00:03 406 resumed after=2 to=e2
> one.log:6 09:00:04 407 broken-off engine=e2 why=no answer in time
decided by one.log:6
believed then: 300 kv-failed error=down

"#]]
    );
}

/// The clock of one instance is behind and was set back: the order within each file is kept. A log collector's
/// timestamp in front of a line is ignored.
#[test]
fn order_within_files() {
    let first = [
        line("09:00:05", r#""message":"a","event":400,"request":"q1""#),
        line("09:00:01", r#""message":"b","event":401,"request":"q1""#),
    ];
    let second = ["12.5 two ".to_string() + &line("09:00:03", r#""message":"c","event":400,"request":"q1""#)];
    let logs = [log("one", &[&first[0], &first[1]]), log("two", &[&second[0]])];
    let explanation = explain("q1", &logs).expect("an explanation").to_string();
    let order: Vec<&str> = explanation.lines().skip(1).take(3).map(|l| &l[2..7]).collect();
    assert_eq!(order, ["two:1", "one:1", "one:2"]);
    assert!(explanation.contains("decided by one:2"), "{explanation}");
}

#[test]
fn unknown_request() {
    let error = explain("q1", &[log("one", &["{"])])
        .expect_err("the request is not in the log")
        .to_string();
    assert!(
        error.starts_with("no line of 1 files names request q1"),
        "{error}"
    );
}
