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
const CONFIG: u64 = 200;

/// Events that say how the store stands: away, back.
const STORE: [u64; 2] = [300, 301];

/// Event that says how many engines may get work.
const ENGINES: u64 = 304;

/// Events that are the last word on a request, the strongest first.
const DECIDING: [u64; 4] = [407, 401, 405, 400];

/// Fields that every line has, or that the story shows elsewhere.
const SHOWN: [&str; 3] = ["message", "event", "request"];

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
    Unknown {
        /// The request.
        request: String,
        /// Files that were read.
        files: usize,
    },
}

#[derive(Debug, Clone)]
struct Line {
    file: usize,
    number: usize,
    time: String,
    event: u64,
    said: String,
}

/// What an instance believed when it decided.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Beliefs(BTreeMap<u64, String>);

impl Beliefs {
    fn on_line(&mut self, event: u64, said: &str) {
        let about = match event {
            CONFIG | ENGINES => event,
            _ if STORE.contains(&event) => STORE[0],
            _ => return,
        };
        self.0.insert(about, said.to_string());
    }
}

/// The story of one request.
#[derive(Debug, Clone)]
pub struct Story {
    request: String,
    names: Vec<String>,
    lines: Vec<Line>,
    decided: usize,
    beliefs: Beliefs,
}

/// Gathers what the logs say of `request`.
///
/// # Errors
///
/// [`ExplainError`] if they say nothing.
pub fn explain(request: &str, logs: &[Log]) -> Result<Story, ExplainError> {
    let mut found = Vec::new();
    for (file, log) in logs.iter().enumerate() {
        let lines = log.text.lines().enumerate();
        let lines = lines.filter_map(|(number, text)| line(file, number + 1, text));
        found.push(lines.collect::<Vec<(Option<String>, Line)>>());
    }
    let own = |lines: &[(Option<String>, Line)]| -> Vec<Line> {
        let lines = lines
            .iter()
            .filter(|(named, _)| named.as_deref() == Some(request));
        lines.map(|(_, line)| line.clone()).collect()
    };
    let lines = merge(found.iter().map(|lines| own(lines)).collect());
    let Some(decided) = deciding(&lines) else {
        return Err(ExplainError::Unknown {
            request: request.to_string(),
            files: logs.len(),
        });
    };
    let mut beliefs = Beliefs::default();
    let until = &lines[decided];
    for (_, line) in found[until.file]
        .iter()
        .filter(|(_, line)| line.number < until.number)
    {
        beliefs.on_line(line.event, &line.said);
    }
    Ok(Story {
        request: request.to_string(),
        names: logs.iter().map(|log| log.name.clone()).collect(),
        lines,
        decided,
        beliefs,
    })
}

/// A line of a log and the request that it names; `None` for what is no line of ours. Whatever stands before the first
/// brace, such as a collector's own stamp, is passed over.
fn line(file: usize, number: usize, text: &str) -> Option<(Option<String>, Line)> {
    let json: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let fields = json.get("fields")?.as_object()?;
    let event = fields.get("event")?.as_u64()?;
    let rest = fields.iter().filter(|(name, _)| !SHOWN.contains(&name.as_str()));
    let rest: Vec<String> = rest
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    let message = fields.get("message").map(plain).unwrap_or_default();
    let said = format!("{message} {}", rest.join(" "));
    let line = Line {
        file,
        number,
        time: json.get("timestamp").map(plain).unwrap_or_default(),
        event,
        said: said.trim_end().to_string(),
    };
    Some((fields.get("request").map(plain), line))
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// All lines, by time as far as each file's own order allows.
fn merge(files: Vec<Vec<Line>>) -> Vec<Line> {
    let mut files: Vec<std::vec::IntoIter<Line>> = files.into_iter().map(Vec::into_iter).collect();
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
fn deciding(lines: &[Line]) -> Option<usize> {
    let last = |event: &u64| lines.iter().rposition(|line| line.event == *event);
    DECIDING
        .iter()
        .find_map(last)
        .or_else(|| lines.len().checked_sub(1))
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for (index, line) in self.lines.iter().enumerate() {
            let mark = if index == self.decided { '>' } else { ' ' };
            let name = &self.names[line.file];
            writeln!(
                f,
                "{mark} {name}:{} {} {} {}",
                line.number, line.time, line.event, line.said
            )?;
        }
        let decided = &self.lines[self.decided];
        writeln!(f, "decided by {}:{}", self.names[decided.file], decided.number)?;
        for (event, said) in &self.beliefs.0 {
            writeln!(f, "believed then: {event} {said}")?;
        }
        Ok(())
    }
}
