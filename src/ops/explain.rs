//! Reconstructs the history of one request from the logs of the instances.
//!
//! The clocks of instances differ, so lines of different files can't be ordered by their timestamps alone. Lines of the
//! same file are in the order in which the events happened on that instance and keep this order; lines of different
//! files are ordered by timestamp as far as that allows.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;
use thiserror::Error;

/// Event that reports the configuration in force.
const CONFIG_EVENT: u64 = 200;

/// Events that report the state of the key-value service: a call failed, it responds again.
const KV_EVENTS: [u64; 2] = [300, 301];

/// Event that reports how many engines may receive requests.
const ENGINES_EVENT: u64 = 304;

/// Events that determine the outcome of a request, in descending order of precedence.
const DECIDING_EVENTS: [u64; 4] = [407, 401, 405, 400];

/// Fields omitted from the list of a line's fields: every line has them, or the history shows them elsewhere.
const OMITTED_FIELDS: [&str; 3] = ["message", "event", "request"];

/// The log of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Name of the log in the output.
    pub name: String,
    /// Content of the log, as JSON lines.
    pub text: String,
}

/// Why the history of a request can't be reconstructed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ExplainError {
    /// No log line has the id of the request.
    #[error(
        "no line of {files} files names request {request}; successes are sampled, failures are left out only at high rates"
    )]
    RequestNotFound {
        /// Id of the request.
        request: String,
        /// Number of files that were read.
        files: usize,
    },
}

/// A parsed log line; `number` is its line number in the file and starts at 1.
#[derive(Debug, Clone)]
struct LogLine {
    file: usize,
    number: usize,
    time: String,
    event: u64,
    content: String,
}

/// The state known to an instance when it decided: the latest line of each kind of state event, by event number.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct KnownState(BTreeMap<u64, String>);

impl KnownState {
    /// Records the line if its event reports state. Both events of the key-value service share one entry.
    fn update(&mut self, event: u64, content: &str) {
        let key = match event {
            CONFIG_EVENT | ENGINES_EVENT => event,
            _ if KV_EVENTS.contains(&event) => KV_EVENTS[0],
            _ => return,
        };
        self.0.insert(key, content.to_string());
    }
}

/// The history of one request: its log lines, which of them decided its outcome, and the state known at that time.
#[derive(Debug, Clone)]
pub struct RequestHistory {
    request: String,
    names: Vec<String>,
    lines: Vec<LogLine>,
    deciding_index: usize,
    known_state: KnownState,
}

/// Reconstructs the history of the request with the id `request` from `logs`.
///
/// # Errors
///
/// Returns [`ExplainError`] if no line has the id of the request.
pub fn explain(request: &str, logs: &[Log]) -> Result<RequestHistory, ExplainError> {
    let mut parsed = Vec::new();
    for (file, log) in logs.iter().enumerate() {
        let lines = log.text.lines().enumerate();
        let lines = lines.filter_map(|(number, text)| parse_line(file, number + 1, text));
        parsed.push(lines.collect::<Vec<(Option<String>, LogLine)>>());
    }
    let of_request = |lines: &[(Option<String>, LogLine)]| -> Vec<LogLine> {
        let lines = lines.iter().filter(|(id, _)| id.as_deref() == Some(request));
        lines.map(|(_, line)| line.clone()).collect()
    };
    let lines = merge(parsed.iter().map(|lines| of_request(lines)).collect());
    let Some(deciding_index) = find_deciding_line(&lines) else {
        return Err(ExplainError::RequestNotFound {
            request: request.to_string(),
            files: logs.len(),
        });
    };
    let mut known_state = KnownState::default();
    let deciding = &lines[deciding_index];
    for (_, line) in parsed[deciding.file]
        .iter()
        .filter(|(_, line)| line.number < deciding.number)
    {
        known_state.update(line.event, &line.content);
    }
    Ok(RequestHistory {
        request: request.to_string(),
        names: logs.iter().map(|log| log.name.clone()).collect(),
        lines,
        deciding_index,
        known_state,
    })
}

/// Parses a log line and returns it with the request id that it contains, or `None` if it is not a JSON log line of an
/// instance. Text before the first brace, such as a timestamp added by a log collector, is skipped.
fn parse_line(file: usize, number: usize, text: &str) -> Option<(Option<String>, LogLine)> {
    let json: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let fields = json.get("fields")?.as_object()?;
    let event = fields.get("event")?.as_u64()?;
    let rest = fields
        .iter()
        .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
    let rest: Vec<String> = rest
        .map(|(name, value)| format!("{name}={}", to_plain_text(value)))
        .collect();
    let message = fields.get("message").map(to_plain_text).unwrap_or_default();
    let content = format!("{message} {}", rest.join(" "));
    let line = LogLine {
        file,
        number,
        time: json.get("timestamp").map(to_plain_text).unwrap_or_default(),
        event,
        content: content.trim_end().to_string(),
    };
    Some((fields.get("request").map(to_plain_text), line))
}

fn to_plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// Merges the lines of all files by timestamp, as far as the order within each file allows.
fn merge(files: Vec<Vec<LogLine>>) -> Vec<LogLine> {
    let mut files: Vec<std::vec::IntoIter<LogLine>> = files.into_iter().map(Vec::into_iter).collect();
    let mut merged = Vec::new();
    loop {
        let heads = files.iter().enumerate();
        let heads = heads.filter_map(|(file, lines)| Some((lines.as_slice().first()?.time.clone(), file)));
        let Some((_, next)) = heads.min() else {
            return merged;
        };
        merged.extend(files[next].next());
    }
}

/// Returns the index of the line that decided the outcome: the last one of the event with the highest precedence, or
/// the last line if there is no such event.
fn find_deciding_line(lines: &[LogLine]) -> Option<usize> {
    let last = |event: &u64| lines.iter().rposition(|line| line.event == *event);
    DECIDING_EVENTS
        .iter()
        .find_map(last)
        .or_else(|| lines.len().checked_sub(1))
}

impl fmt::Display for RequestHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for (index, line) in self.lines.iter().enumerate() {
            let mark = if index == self.deciding_index { '>' } else { ' ' };
            let name = &self.names[line.file];
            writeln!(
                f,
                "{mark} {name}:{} {} {} {}",
                line.number, line.time, line.event, line.content
            )?;
        }
        let deciding = &self.lines[self.deciding_index];
        writeln!(f, "decided by {}:{}", self.names[deciding.file], deciding.number)?;
        for (event, content) in &self.known_state.0 {
            writeln!(f, "believed then: {event} {content}")?;
        }
        Ok(())
    }
}
