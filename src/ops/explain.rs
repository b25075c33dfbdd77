//! The story of one request, out of the logs of the instances.
//!
//! Clocks of instances differ, so lines of two files can't be ordered by their times alone. The lines of one file are in
//! the order in which things happened there; between files, a line is placed by its time as far as that keeps each
//! file's own order.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;
use thiserror::Error;

/// Event that says which configuration is in force.
const CONFIG_EVENT: u64 = 200;

/// Events that say how the store stands: away, back.
const KV_EVENTS: [u64; 2] = [300, 301];

/// Event that says how many engines may get work.
const ENGINES_EVENT: u64 = 304;

/// Events that are the last word on a request, the strongest first.
const DECIDING_EVENTS: [u64; 4] = [407, 401, 405, 400];

/// Fields that every line has, or that the story shows elsewhere.
const OMITTED_FIELDS: [&str; 3] = ["message", "event", "request"];

/// A log of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// What the story calls it.
    pub name: String,
    /// Its lines.
    pub text: String,
}

/// Why there is no story.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ExplainError {
    /// No line names the request.
    #[error(
        "no line of {files} files names request {request}; successes are sampled, failures only when they come in floods"
    )]
    RequestNotFound {
        /// The request.
        request: String,
        /// Files that were read.
        files: usize,
    },
}

#[derive(Debug, Clone)]
struct LogLine {
    file: usize,
    number: usize,
    time: String,
    event: u64,
    content: String,
}

/// What an instance believed when it decided.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct KnownState(BTreeMap<u64, String>);

impl KnownState {
    fn update(&mut self, event: u64, content: &str) {
        let about = match event {
            CONFIG_EVENT | ENGINES_EVENT => event,
            _ if KV_EVENTS.contains(&event) => KV_EVENTS[0],
            _ => return,
        };
        self.0.insert(about, content.to_string());
    }
}

/// The story of one request.
#[derive(Debug, Clone)]
pub struct RequestHistory {
    request: String,
    names: Vec<String>,
    lines: Vec<LogLine>,
    deciding_index: usize,
    known_state: KnownState,
}

/// Gathers what the logs say of `request`.
///
/// # Errors
///
/// [`ExplainError`] if they say nothing.
pub fn explain(request: &str, logs: &[Log]) -> Result<RequestHistory, ExplainError> {
    let mut found = Vec::new();
    for (file, log) in logs.iter().enumerate() {
        let lines = log.text.lines().enumerate();
        let lines = lines.filter_map(|(number, text)| parse_line(file, number + 1, text));
        found.push(lines.collect::<Vec<(Option<String>, LogLine)>>());
    }
    let own = |lines: &[(Option<String>, LogLine)]| -> Vec<LogLine> {
        let lines = lines
            .iter()
            .filter(|(named, _)| named.as_deref() == Some(request));
        lines.map(|(_, line)| line.clone()).collect()
    };
    let lines = merge(found.iter().map(|lines| own(lines)).collect());
    let Some(deciding_index) = find_deciding_line(&lines) else {
        return Err(ExplainError::RequestNotFound {
            request: request.to_string(),
            files: logs.len(),
        });
    };
    let mut known_state = KnownState::default();
    let until = &lines[deciding_index];
    for (_, line) in found[until.file]
        .iter()
        .filter(|(_, line)| line.number < until.number)
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

/// A line of a log and the request that it names; `None` for what is no line of ours. Whatever stands before the first
/// brace, such as a collector's own stamp, is passed over.
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

/// All lines, by time as far as each file's own order allows.
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

/// The line that decided: the last of the strongest kind.
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
