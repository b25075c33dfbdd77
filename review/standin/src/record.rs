//! What was sent, answered and run.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record of a run.
pub struct Record {
    pub started: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
    sums: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started: Instant::now(),
            lines: Mutex::default(),
            sums: Mutex::default(),
        }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes what happens now.
    pub fn note(&self, text: String) {
        self.lines.lock().expect("the lines").push((self.now(), text));
    }

    /// Notes a result of the whole run.
    pub fn sum(&self, text: String) {
        self.sums.lock().expect("the sums").push(text);
    }

    /// Writes `record.txt` into the folder of the case.
    pub fn write(&self, folder: &Path, broken: &[String]) -> io::Result<()> {
        let mut text = String::new();
        for (at, line) in self.lines.lock().expect("the lines").iter() {
            text += &format!("{:9.3} s  {line}\n", at.as_secs_f64());
        }
        for line in self.sums.lock().expect("the sums").iter() {
            text += &format!("{line}\n");
        }
        match broken.is_empty() {
            true => text += "the rule held\n",
            false => broken.iter().for_each(|line| text += &format!("BROKEN {line}\n")),
        }
        print!("{text}");
        fs::write(folder.join("record.txt"), text)
    }
}
