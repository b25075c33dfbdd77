//! Runs a case of the review: `review-standin CASE CASE-FOLDER TEMPORARY-FOLDER`, from the root of the repository.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod base64;
mod deployment;
mod engine;
mod http;
mod leader;
mod link;
mod poison;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, temporary] = &arguments[..] else {
        eprintln!("usage: review-standin CASE CASE-FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let (folder, temporary) = (Path::new(folder), Path::new(temporary));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let held = match case.as_str() {
        "leader" => leader::run(folder, temporary, trouble),
        "poison" => poison::run(folder, temporary, trouble),
        other => Err(std::io::Error::other(format!("there is no case {other}"))),
    };
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
